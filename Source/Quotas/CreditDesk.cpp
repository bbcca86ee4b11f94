#include "Quotas/CreditDesk.h"

#include <algorithm>

namespace burlreach {

namespace {

constexpr Milliseconds DealtWindow{ 1000 };
constexpr Milliseconds ShortestComeBack{ 100 };

}

CreditDesk::CreditDesk(const Options& givenOptions, Random& givenRandom)
    : options(givenOptions)
    , random(&givenRandom)
{
}

CreditDecision CreditDesk::refusal(CreditDecision::Outcome outcome, Milliseconds wait)
{
    // Up to twice the wait, at random: otherwise all refused callers would retry at once for the same credit.
    const Milliseconds comeBack = std::max(ShortestComeBack, wait) * (1 + this->random->unit());
    return { .outcome = outcome, .grantedAt = {}, .comeBackAfter = comeBack };
}

std::optional<Milliseconds> CreditDesk::takeLocal(const Customer& customer, Milliseconds now)
{
    std::deque<Milliseconds>& unused = this->accounts[customer.name].unused;
    while (!unused.empty() && now - unused.front() >= CreditLife)
        unused.pop_front();
    if (!unused.empty()) {
        const Milliseconds grantedAt = unused.front();
        unused.pop_front();
        return grantedAt;
    }
    if (!this->instances)
        return std::nullopt;
    const QuotaPlan plan(customer.limit, this->options.bound);
    const auto all = static_cast<double>(std::max<std::size_t>(*this->instances, 1));
    const DealtBudget::Part part{ .perSecond = plan.dealtPerSecond() / all, .window = DealtWindow };
    return this->dealt.take(customer.name, part, *this->random, now) ? std::optional(now) : std::nullopt;
}

CreditDecision CreditDesk::request(RequestNumber request, const Customer& customer, Milliseconds now)
{
    if (const auto grantedAt = this->takeLocal(customer, now))
        return { .outcome = CreditDecision::Outcome::Granted, .grantedAt = *grantedAt, .comeBackAfter = {} };
    Account& account = this->accounts[customer.name];
    if (now < account.exhaustedUntil)
        return this->refusal(CreditDecision::Outcome::Exhausted, account.exhaustedUntil - now);
    if (this->isSilent(now))
        return this->refusal(CreditDecision::Outcome::Unconfirmed, this->silentUntil - now);
    account.waiting.push_back(request);
    this->busy.insert(customer.name);
    return { .outcome = CreditDecision::Outcome::Awaited, .grantedAt = {}, .comeBackAfter = {} };
}

void CreditDesk::giveBack(const std::string& customer, Milliseconds grantedAt, Milliseconds now)
{
    if (now - grantedAt < CreditLife)
        this->accounts[customer].unused.push_back(grantedAt);
}

void CreditDesk::forget(RequestNumber request, const std::string& customer)
{
    Account& account = this->accounts[customer];
    const auto found = std::find(account.waiting.begin(), account.waiting.end(), request);
    if (found == account.waiting.end())
        return;
    // Credit already requested for it goes to the next waiting request.
    account.waiting.erase(found);
}

std::vector<CreditDesk::Ask> CreditDesk::takeAsks(Milliseconds now)
{
    std::vector<Ask> asks;
    std::erase_if(this->busy, [this](const std::string& customer) {
        const Account& account = this->accounts[customer];
        return account.waiting.empty() && !account.asked;
    });
    for (const std::string& customer : this->busy) {
        Account& account = this->accounts[customer];
        if (account.asked)
            continue;
        account.asked = ++this->lastAsk;
        account.askedFor = account.waiting.size();
        account.answerDue = now + this->options.answerPatience;
        asks.push_back(
            { .number = account.asked, .customer = customer, .requests = static_cast<unsigned>(account.askedFor) });
    }
    return asks;
}

void CreditDesk::refuseFront(
    Account& account, std::size_t count, const CreditDecision& decision, std::vector<Settled>& settled)
{
    for (; count && !account.waiting.empty(); --count) {
        settled.push_back({ .request = account.waiting.front(), .decision = decision });
        account.waiting.pop_front();
    }
}

std::vector<CreditDesk::Settled> CreditDesk::nobodyGrants(Milliseconds now)
{
    std::vector<Settled> settled;
    this->silentUntil = now + this->options.silentPause;
    for (const std::string& customer : this->busy) {
        Account& account = this->accounts[customer];
        account.asked = 0;
        account.asks = 0;
        account.answerDue = Never;
        while (!account.waiting.empty())
            this->refuseFront(
                account, 1, this->refusal(CreditDecision::Outcome::Unconfirmed, this->options.silentPause), settled);
    }
    return settled;
}

std::vector<CreditDesk::Settled> CreditDesk::answered(const Answer& answer, Milliseconds now)
{
    std::vector<Settled> settled;
    const auto found = this->accounts.find(answer.customer);
    // Credit in a late answer is discarded: the granting instance may have lost its role since then.
    if (found == this->accounts.end() || !answer.number || found->second.asked != answer.number)
        return settled;
    if (!answer.isGranting)
        return this->nobodyGrants(now);
    Account& account = found->second;
    // The exact time of the grant is unknown. Taking the time when the query was sent, the earliest possible, makes
    // the credit expire early rather than late.
    const Milliseconds grantedAt = account.answerDue - this->options.answerPatience;
    const std::size_t asked = account.askedFor;
    account.asked = 0;
    account.asks = 0;
    account.answerDue = Never;
    unsigned left = answer.grant.amount;
    std::size_t served = 0;
    for (; left && !account.waiting.empty(); --left, ++served) {
        settled.push_back({ .request = account.waiting.front(),
            .decision = { .outcome = CreditDecision::Outcome::Granted, .grantedAt = grantedAt, .comeBackAfter = {} } });
        account.waiting.pop_front();
    }
    for (; left; --left)
        this->giveBack(answer.customer, grantedAt, now);
    if (answer.grant.amount >= asked)
        return settled;
    account.exhaustedUntil = now + answer.grant.wait;
    while (!account.waiting.empty())
        this->refuseFront(account, 1, this->refusal(CreditDecision::Outcome::Exhausted, answer.grant.wait), settled);
    return settled;
}

std::vector<CreditDesk::Settled> CreditDesk::tick(Milliseconds now)
{
    bool isSilent = false;
    for (const std::string& customer : this->busy) {
        Account& account = this->accounts[customer];
        if (now < account.answerDue)
            continue;
        account.answerDue = Never;
        account.asked = 0;
        isSilent = isSilent || ++account.asks >= this->options.mostAsks;
    }
    return isSilent ? this->nobodyGrants(now) : std::vector<Settled>();
}

Milliseconds CreditDesk::nextDue() const
{
    Milliseconds due = Never;
    for (const std::string& customer : this->busy)
        due = std::min(due, this->accounts.at(customer).answerDue);
    return due;
}

}
