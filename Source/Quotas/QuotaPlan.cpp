#include "Quotas/QuotaPlan.h"

#include <algorithm>

namespace burlreach {

namespace {

/**
 * The share of the margin between limit and bound that instances use without a grant. Each instance draws its own part
 * at random, and a quota window of 5 s overlaps up to six draw windows of 1 s: with 984 instances the sum of all draws
 * exceeds twice this share in one of several thousand quota windows.
 */
constexpr double WithoutGrantShare = 0.2;
constexpr double ReservedShare = 2 * WithoutGrantShare;

}

QuotaPlan::QuotaPlan(const CustomerLimit& givenLimit, const QuotaBound& givenBound)
    : limit(givenLimit)
    , bound(givenBound)
{
}

double QuotaPlan::margin() const
{
    const double allowed = this->limit.requestsPerSecond * (this->bound.window / Second) + this->limit.burst;
    return allowed * this->bound.overage + this->bound.slack;
}

double QuotaPlan::grantBurst() const
{
    const double usedLater = this->limit.requestsPerSecond * (CreditLife / Second);
    const double left = this->limit.burst + this->margin() * (1 - ReservedShare) - usedLater;
    // With a capacity below one whole request nothing could ever be granted.
    return std::max(1.0, left);
}

double QuotaPlan::usableWithoutGrantPerSecond() const
{
    return this->margin() * WithoutGrantShare / (this->bound.window / Second);
}

}
