#include "Quotas/CreditIssuer.h"

#include <algorithm>

namespace burlreach {

namespace {

constexpr double HalfShare = 0.5;
/**
 * The burst in Half mode, as a time at half the rate. It is short because two instances may grant at once, and each
 * of them may grant its whole burst at once.
 */
constexpr Milliseconds HalfModeBurst{ 200 };

}

CreditIssuer::CreditIssuer(const QuotaBound& givenBound)
    : bound(givenBound)
{
}

void CreditIssuer::begin(bool isFirst, Milliseconds now)
{
    this->startsFull = isFirst;
    this->grantingSince = now;
    this->accounts.clear();
}

TokenBucket::Rate CreditIssuer::rateOf(const QuotaPlan& plan, GrantMode mode) const
{
    if (mode == GrantMode::Full)
        return { .perSecond = plan.grantedPerSecond(), .capacity = plan.grantBurst() };
    const double half = plan.grantedPerSecond() * HalfShare;
    return { .perSecond = half, .capacity = std::max(1.0, half * (HalfModeBurst / Second)) };
}

CreditGrant CreditIssuer::grant(const Customer& customer, unsigned wanted, GrantMode mode, Milliseconds now)
{
    if (mode == GrantMode::None)
        return {};
    const QuotaPlan plan(customer.limit, this->bound);
    const TokenBucket::Rate rate = this->rateOf(plan, mode);
    auto account = this->accounts.find(customer.name);
    if (account == this->accounts.end()) {
        // The customer took nothing since this instance began to grant, so its bucket has filled since then.
        const TokenBucket fresh(this->startsFull ? rate.capacity : 0, this->grantingSince);
        const SlidingCount none(this->bound.window);
        account = this->accounts.emplace(customer.name, Account{ .bucket = fresh, .granted = none }).first;
    }
    TokenBucket& bucket = account->second.bucket;
    CreditGrant grant;
    grant.amount = bucket.take(wanted, rate, now);
    for (unsigned count = 0; count < grant.amount; ++count)
        account->second.granted.add(now);
    if (grant.amount < wanted)
        grant.wait = bucket.timeUntilNext(rate);
    return grant;
}

std::uint64_t CreditIssuer::granted(const std::string& customer, Milliseconds now) const
{
    const auto account = this->accounts.find(customer);
    if (account == this->accounts.end())
        return 0;
    // SlidingCount::count() is not const: it advances the window.
    SlidingCount granted = account->second.granted;
    return granted.count(now);
}

}
