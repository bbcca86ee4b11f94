#include "Quotas/QuotaPlan.h"

#include <algorithm>

namespace burlreach {

namespace {

/**
 * Of what lies between limit and bound. Instances draw their parts by
 * themselves, and up to six windows of a second touch a span of five: the sum
 * of 984 draws stays below twice this share in all but one span of some thousands.
 */
constexpr double DealtShare = 0.2;
constexpr double KeptForDealt = 2 * DealtShare;

}

QuotaPlan::QuotaPlan(const CustomerLimit& givenLimit, const QuotaBound& givenBound)
    : limit(givenLimit)
    , bound(givenBound)
{
}

double QuotaPlan::beyondLimit() const
{
    const double within = this->limit.requestsPerSecond * (this->bound.window / Second) + this->limit.burst;
    return within * this->bound.overage + this->bound.slack;
}

double QuotaPlan::grantedAtOnce() const
{
    const double usedLater = this->limit.requestsPerSecond * (CreditLife / Second);
    const double left = this->limit.burst + this->beyondLimit() * (1 - KeptForDealt) - usedLater;
    // Without a whole request nothing could ever be granted.
    return std::max(1.0, left);
}

double QuotaPlan::dealtPerSecond() const
{
    return this->beyondLimit() * DealtShare / (this->bound.window / Second);
}

}
