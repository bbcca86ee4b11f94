#include "Quotas/CreditIssuer.h"

namespace burlreach {

CreditIssuer::CreditIssuer(const QuotaBound& givenBound)
    : bound(givenBound)
{
}

void CreditIssuer::begin(std::size_t share, Milliseconds since)
{
    this->shares.at(share) = { .grantingSince = since, .accounts = {} };
}

CreditGrant CreditIssuer::grant(const Request& request, Milliseconds now)
{
    const TokenBucket::Rate rate = QuotaPlan(request.customer->limit, this->bound).shareRate();
    Share& share = this->shares.at(request.share);
    auto account = share.accounts.find(request.customer->name);
    if (account == share.accounts.end()) {
        // The customer took nothing since this instance began to grant, so its bucket has filled since then.
        const TokenBucket fresh(0, share.grantingSince);
        const SlidingCount none(this->bound.window);
        account = share.accounts.emplace(request.customer->name, Account{ .bucket = fresh, .granted = none }).first;
    }
    TokenBucket& bucket = account->second.bucket;
    CreditGrant grant;
    grant.amount = bucket.take(request.wanted, rate, now);
    for (unsigned count = 0; count < grant.amount; ++count)
        account->second.granted.add(now);
    if (grant.amount < request.wanted)
        grant.wait = bucket.timeUntilNext(rate);
    return grant;
}

std::uint64_t CreditIssuer::granted(const std::string& customer, Milliseconds now) const
{
    std::uint64_t total = 0;
    for (const Share& share : this->shares) {
        const auto account = share.accounts.find(customer);
        if (account == share.accounts.end())
            continue;
        // SlidingCount::count() is not const: it advances the window.
        SlidingCount granted = account->second.granted;
        total += granted.count(now);
    }
    return total;
}

}
