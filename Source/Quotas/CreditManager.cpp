#include "Quotas/CreditManager.h"

#include <algorithm>

namespace burlreach {

namespace {

constexpr Milliseconds LocalBudgetWindow{ 1000 };
constexpr Milliseconds MinimumRetryDelay{ 100 };
/** A limit may leave a share without any credit; its customer may be given a higher limit later. */
constexpr Milliseconds LongestWait{ 60000 };

}

CreditManager::CreditManager(const Options& givenOptions, Random& givenRandom)
    : options(givenOptions)
    , random(&givenRandom)
{
}

CreditDecision CreditManager::refusal(CreditDecision::Outcome outcome, Milliseconds wait)
{
    // Up to twice the wait, at random: otherwise all refused callers would retry at once for the same credit.
    const Milliseconds retryDelay = std::max(MinimumRetryDelay, wait) * (1 + this->random->unit());
    return { .outcome = outcome, .grantedAt = {}, .retryAfter = retryDelay };
}

std::optional<Milliseconds> CreditManager::takeLocal(const Customer& customer, Milliseconds now)
{
    std::deque<Milliseconds>& unusedTimes = this->accounts[customer.name].unusedCredits;
    while (!unusedTimes.empty() && now - unusedTimes.front() >= CreditLife)
        unusedTimes.pop_front();
    if (!unusedTimes.empty()) {
        const Milliseconds grantedAt = unusedTimes.front();
        unusedTimes.pop_front();
        return grantedAt;
    }
    if (!this->instances)
        return std::nullopt;
    const QuotaPlan plan(customer.limit, this->options.bound);
    const auto instanceCount = static_cast<double>(std::max<std::size_t>(*this->instances, 1));
    const LocalBudgetShare::Rate part{ .perSecond = plan.usableWithoutGrantPerSecond() / instanceCount,
        .window = LocalBudgetWindow };
    return this->localBudget.take(customer.name, part, *this->random, now) ? std::optional(now) : std::nullopt;
}

bool CreditManager::isPaused(std::size_t share, Milliseconds now) const
{
    const auto found = this->pauses.find(this->holders.at(share).instance);
    return found != this->pauses.end() && now < found->second.until;
}

void CreditManager::pause(const std::string& holder, Milliseconds now)
{
    const auto [found, isNew] = this->pauses.try_emplace(holder);
    Pause& pause = found->second;
    // Queries of several customers that were under way together count as one failure.
    if (now < pause.until)
        return;
    if (isNew)
        pause.next = this->options.firstPause;
    pause.until = now + pause.next;
    pause.next = std::min(pause.next * 2, this->options.longestPause);
}

std::optional<std::size_t> CreditManager::chooseShare(const Account& account, Milliseconds now)
{
    std::vector<std::size_t> others;
    std::vector<std::size_t> unproven; // their holders have not answered since a pause
    std::size_t queries = 0; // to other holders for these requests; this instance's own shares need no message
    for (std::size_t share = 0; share < CreditShareCount; ++share) {
        const Holder& holder = this->holders.at(share);
        if (account.asked.test(share)) {
            queries += holder.isHere ? 0 : 1;
            continue;
        }
        if (holder.instance.empty() || now < account.exhaustedUntil.at(share) || this->isPaused(share, now))
            continue;
        if (holder.isHere)
            return share;
        (this->pauses.contains(holder.instance) ? unproven : others).push_back(share);
    }
    const bool holdsShare
        = std::any_of(this->holders.begin(), this->holders.end(), [](const Holder& holder) { return holder.isHere; });
    const std::vector<std::size_t>& from = others.empty() ? unproven : others;
    if (from.empty() || queries + (holdsShare ? 1 : 0) >= this->options.maximumQueries)
        return std::nullopt;
    return from[this->random->below(from.size())];
}

CreditManager::RefusalCounts CreditManager::refusals(const std::string& customer) const
{
    const auto found = this->accounts.find(customer);
    return found == this->accounts.end() ? RefusalCounts{} : found->second.refused;
}

CreditDecision CreditManager::refuse(Account& account, Milliseconds now)
{
    Milliseconds credit = Never;
    Milliseconds answers = Never;
    for (std::size_t share = 0; share < CreditShareCount; ++share) {
        if (now < account.exhaustedUntil.at(share))
            credit = std::min(credit, account.exhaustedUntil.at(share));
        const auto pause = this->pauses.find(this->holders.at(share).instance);
        if (pause != this->pauses.end() && now < pause->second.until)
            answers = std::min(answers, pause->second.until);
    }
    if (credit != Never) {
        ++account.refused.exceeded;
        return this->refusal(CreditDecision::Outcome::Exhausted, credit - now);
    }
    ++account.refused.unconfirmed;
    return this->refusal(
        CreditDecision::Outcome::Unconfirmed, answers == Never ? this->options.firstPause : answers - now);
}

CreditDecision CreditManager::request(RequestNumber request, const Customer& customer, Milliseconds now)
{
    if (const auto grantedAt = this->takeLocal(customer, now))
        return { .outcome = CreditDecision::Outcome::Granted, .grantedAt = *grantedAt, .retryAfter = {} };
    Account& account = this->accounts[customer.name];
    if (!account.pendingQuery && account.waiting.empty()) {
        account.asked.reset();
        if (!this->chooseShare(account, now))
            return this->refuse(account, now);
    }
    account.waiting.push_back(request);
    this->activeCustomers.insert(customer.name);
    return { .outcome = CreditDecision::Outcome::Awaited, .grantedAt = {}, .retryAfter = {} };
}

void CreditManager::giveBack(const std::string& customer, Milliseconds grantedAt, Milliseconds now)
{
    if (now - grantedAt < CreditLife)
        this->accounts[customer].unusedCredits.push_back(grantedAt);
}

void CreditManager::forget(RequestNumber request, const std::string& customer)
{
    Account& account = this->accounts[customer];
    const auto found = std::find(account.waiting.begin(), account.waiting.end(), request);
    if (found == account.waiting.end())
        return;
    // Credit already requested for it goes to the next waiting request.
    account.waiting.erase(found);
}

std::vector<CreditManager::Query> CreditManager::takeQueries(Milliseconds now)
{
    std::vector<Query> queries;
    std::erase_if(this->activeCustomers, [this](const std::string& customer) {
        const Account& account = this->accounts[customer];
        return account.waiting.empty() && !account.pendingQuery;
    });
    for (const std::string& customer : this->activeCustomers) {
        Account& account = this->accounts[customer];
        const auto share = account.pendingQuery ? std::nullopt : this->chooseShare(account, now);
        if (!share)
            continue;
        account.pendingQuery = ++this->lastQuery;
        account.queriedShare = *share;
        account.queriedHolder = this->holders.at(*share).instance;
        account.queriedRequests = account.waiting.size();
        account.answerDeadline = now + this->options.answerTimeout;
        account.asked.set(*share);
        queries.push_back({ .number = account.pendingQuery,
            .customer = customer,
            .requests = static_cast<unsigned>(account.queriedRequests),
            .share = *share });
    }
    return queries;
}

void CreditManager::refuseIfDone(Account& account, Milliseconds now, std::vector<DecidedRequest>& settled)
{
    if (account.waiting.empty()) {
        account.asked.reset();
        return;
    }
    if (this->chooseShare(account, now))
        return;
    for (; !account.waiting.empty(); account.waiting.pop_front())
        settled.push_back({ .request = account.waiting.front(), .decision = this->refuse(account, now) });
    account.asked.reset();
}

std::vector<CreditManager::DecidedRequest> CreditManager::answered(const Answer& answer, Milliseconds now)
{
    std::vector<DecidedRequest> settled;
    const auto found = this->accounts.find(answer.customer);
    // Credit in a late answer is discarded: the holder may have lost its share since then.
    if (found == this->accounts.end() || !answer.number || found->second.pendingQuery != answer.number)
        return settled;
    Account& account = found->second;
    // The exact time of the grant is unknown. Taking the time when the query was sent, the earliest possible, makes
    // the credit expire early rather than late.
    const Milliseconds grantedAt = account.answerDeadline - this->options.answerTimeout;
    const std::size_t queried = account.queriedRequests;
    account.pendingQuery = 0;
    account.answerDeadline = Never;
    if (answer.isGranting)
        this->pauses.erase(account.queriedHolder);
    else {
        // The pause keeps the holder from being asked again. The share may not be short of credit, so this query does
        // not count.
        this->pause(account.queriedHolder, now);
        account.asked.reset(account.queriedShare);
    }
    unsigned left = answer.isGranting ? answer.grant.amount : 0;
    for (; left && !account.waiting.empty(); --left) {
        settled.push_back({ .request = account.waiting.front(),
            .decision = { .outcome = CreditDecision::Outcome::Granted, .grantedAt = grantedAt, .retryAfter = {} } });
        account.waiting.pop_front();
    }
    for (; left; --left)
        this->giveBack(answer.customer, grantedAt, now);
    if (answer.isGranting && answer.grant.amount < queried)
        account.exhaustedUntil.at(account.queriedShare) = now + std::min(answer.grant.wait, LongestWait);
    else if (answer.isGranting)
        account.asked.reset();
    this->refuseIfDone(account, now, settled);
    return settled;
}

std::vector<CreditManager::DecidedRequest> CreditManager::tick(Milliseconds now)
{
    std::vector<DecidedRequest> settled;
    for (const std::string& customer : this->activeCustomers) {
        Account& account = this->accounts[customer];
        const bool isOverdue = account.pendingQuery && now >= account.answerDeadline;
        if (isOverdue) {
            account.answerDeadline = Never;
            account.pendingQuery = 0;
            this->pause(account.queriedHolder, now);
        }
        // The holders may have changed since the requests began to wait.
        if (isOverdue || !account.pendingQuery)
            this->refuseIfDone(account, now, settled);
    }
    return settled;
}

Milliseconds CreditManager::nextDue() const
{
    Milliseconds due = Never;
    for (const std::string& customer : this->activeCustomers) {
        const Account& account = this->accounts.at(customer);
        // The holder that was to be asked was paused meanwhile: the next tick asks another one or refuses.
        if (!account.waiting.empty() && !account.pendingQuery)
            return LongAgo;
        due = std::min(due, account.answerDeadline);
    }
    return due;
}

}
