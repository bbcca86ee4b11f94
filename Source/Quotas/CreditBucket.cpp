#include "Quotas/CreditBucket.h"

#include <algorithm>
#include <cmath>

namespace burlreach {

CreditBucket::CreditBucket(double givenSaved, Milliseconds now)
    : saved(givenSaved)
    , filledAt(now)
{
}

unsigned CreditBucket::take(unsigned wanted, const Rate& rate, Milliseconds now)
{
    const Milliseconds span = std::max(Milliseconds{}, now - this->filledAt);
    this->filledAt = std::max(this->filledAt, now);
    this->saved = std::min(rate.most, this->saved + rate.perSecond * (span / Second));
    const double whole = std::min(static_cast<double>(wanted), std::floor(this->saved));
    const auto taken = static_cast<unsigned>(std::max(0.0, whole));
    this->saved -= taken;
    return taken;
}

Milliseconds CreditBucket::untilNext(const Rate& rate) const
{
    if (rate.perSecond <= 0)
        return Never;
    return Second * (std::max(0.0, 1 - this->saved) / rate.perSecond);
}

}
