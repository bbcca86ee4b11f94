#include "Quotas/CreditManager.h"

#include <algorithm>

namespace burlreach {

namespace {

constexpr Milliseconds LocalBudgetWindow{ 1000 };
constexpr Milliseconds MinimumRetryDelay{ 100 };

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

CreditDecision CreditManager::request(RequestNumber request, const Customer& customer, Milliseconds now)
{
    if (const auto grantedAt = this->takeLocal(customer, now))
        return { .outcome = CreditDecision::Outcome::Granted, .grantedAt = *grantedAt, .retryAfter = {} };
    Account& account = this->accounts[customer.name];
    if (now < account.exhaustedUntil)
        return this->refusal(CreditDecision::Outcome::Exhausted, account.exhaustedUntil - now);
    if (this->isGrantorUnresponsive(now))
        return this->refusal(CreditDecision::Outcome::Unconfirmed, this->unresponsiveUntil - now);
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
    std::vector<Query> asks;
    std::erase_if(this->activeCustomers, [this](const std::string& customer) {
        const Account& account = this->accounts[customer];
        return account.waiting.empty() && !account.pendingQuery;
    });
    for (const std::string& customer : this->activeCustomers) {
        Account& account = this->accounts[customer];
        if (account.pendingQuery)
            continue;
        account.pendingQuery = ++this->lastQuery;
        account.queriedRequests = account.waiting.size();
        account.answerDeadline = now + this->options.answerTimeout;
        asks.push_back({ .number = account.pendingQuery,
            .customer = customer,
            .requests = static_cast<unsigned>(account.queriedRequests) });
    }
    return asks;
}

void CreditManager::refuseFront(
    Account& account, std::size_t count, const CreditDecision& decision, std::vector<DecidedRequest>& settled)
{
    for (; count && !account.waiting.empty(); --count) {
        settled.push_back({ .request = account.waiting.front(), .decision = decision });
        account.waiting.pop_front();
    }
}

std::vector<CreditManager::DecidedRequest> CreditManager::refuseAllWaiting(Milliseconds now)
{
    std::vector<DecidedRequest> settled;
    this->unresponsiveUntil = now + this->options.unresponsivePause;
    for (const std::string& customer : this->activeCustomers) {
        Account& account = this->accounts[customer];
        account.pendingQuery = 0;
        account.unansweredQueries = 0;
        account.answerDeadline = Never;
        while (!account.waiting.empty())
            this->refuseFront(account, 1,
                this->refusal(CreditDecision::Outcome::Unconfirmed, this->options.unresponsivePause), settled);
    }
    return settled;
}

std::vector<CreditManager::DecidedRequest> CreditManager::answered(const Answer& answer, Milliseconds now)
{
    std::vector<DecidedRequest> settled;
    const auto found = this->accounts.find(answer.customer);
    // Credit in a late answer is discarded: the granting instance may have lost its role since then.
    if (found == this->accounts.end() || !answer.number || found->second.pendingQuery != answer.number)
        return settled;
    if (!answer.isGranting)
        return this->refuseAllWaiting(now);
    Account& account = found->second;
    // The exact time of the grant is unknown. Taking the time when the query was sent, the earliest possible, makes
    // the credit expire early rather than late.
    const Milliseconds grantedAt = account.answerDeadline - this->options.answerTimeout;
    const std::size_t queried = account.queriedRequests;
    account.pendingQuery = 0;
    account.unansweredQueries = 0;
    account.answerDeadline = Never;
    unsigned left = answer.grant.amount;
    std::size_t served = 0;
    for (; left && !account.waiting.empty(); --left, ++served) {
        settled.push_back({ .request = account.waiting.front(),
            .decision = { .outcome = CreditDecision::Outcome::Granted, .grantedAt = grantedAt, .retryAfter = {} } });
        account.waiting.pop_front();
    }
    for (; left; --left)
        this->giveBack(answer.customer, grantedAt, now);
    if (answer.grant.amount >= queried)
        return settled;
    account.exhaustedUntil = now + answer.grant.wait;
    while (!account.waiting.empty())
        this->refuseFront(account, 1, this->refusal(CreditDecision::Outcome::Exhausted, answer.grant.wait), settled);
    return settled;
}

std::vector<CreditManager::DecidedRequest> CreditManager::tick(Milliseconds now)
{
    bool isUnresponsive = false;
    for (const std::string& customer : this->activeCustomers) {
        Account& account = this->accounts[customer];
        if (now < account.answerDeadline)
            continue;
        account.answerDeadline = Never;
        account.pendingQuery = 0;
        isUnresponsive = isUnresponsive || ++account.unansweredQueries >= this->options.maximumQueries;
    }
    return isUnresponsive ? this->refuseAllWaiting(now) : std::vector<DecidedRequest>();
}

Milliseconds CreditManager::nextDue() const
{
    Milliseconds due = Never;
    for (const std::string& customer : this->activeCustomers)
        due = std::min(due, this->accounts.at(customer).answerDeadline);
    return due;
}

}
