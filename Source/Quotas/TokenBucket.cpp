#include "Quotas/TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace burlreach {

TokenBucket::TokenBucket(double givenTokens, Milliseconds now)
    : tokens(givenTokens)
    , filledAt(now)
{
}

unsigned TokenBucket::take(unsigned wanted, const Rate& rate, Milliseconds now)
{
    const Milliseconds elapsed = std::max(Milliseconds{}, now - this->filledAt);
    this->filledAt = std::max(this->filledAt, now);
    this->tokens = std::min(rate.capacity, this->tokens + rate.perSecond * (elapsed / Second));
    const double available = std::min(static_cast<double>(wanted), std::floor(this->tokens));
    const auto taken = static_cast<unsigned>(std::max(0.0, available));
    this->tokens -= taken;
    return taken;
}

Milliseconds TokenBucket::timeUntilNext(const Rate& rate) const
{
    if (rate.perSecond <= 0)
        return Never;
    return Second * (std::max(0.0, 1 - this->tokens) / rate.perSecond);
}

}
