#include "Quotas/QuotaPlan.h"

#include "Quotas/CreditShareItem.h"

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
/**
 * The least capacity of a bucket, as a time at the rate of its share. Requests of a customer arrive at random: with one
 * request of capacity at a high rate, a customer without a burst would be refused well below its limit.
 */
constexpr Milliseconds LeastBurst{ 300 };

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

TokenBucket::Rate QuotaPlan::shareRate() const
{
    // All credit that is used within a window was granted within this time.
    const Milliseconds grantTime = this->bound.window + CreditLife;
    const double full = this->limit.requestsPerSecond;
    const double usable
        = full * (this->bound.window / Second) + this->limit.burst + this->margin() * (1 - ReservedShare);
    const double leastCapacity = std::max(1.0, full / CreditShareCount * (LeastBurst / Second));
    const double afterLeast = usable - leastCapacity * CreditShareCount;
    const double granted = std::clamp(afterLeast / (grantTime / Second), 0.0, full);
    const double capacity = (usable - granted * (grantTime / Second)) / CreditShareCount;
    return { .perSecond = granted / CreditShareCount, .capacity = std::max(leastCapacity, capacity) };
}

double QuotaPlan::usableWithoutGrantPerSecond() const
{
    return this->margin() * WithoutGrantShare / (this->bound.window / Second);
}

}
