#pragma once

#include "Base/Milliseconds.h"
#include "Customers/Customer.h"
#include "Quotas/TokenBucket.h"

namespace burlreach {

/**
 * How many requests of a customer the whole fleet may let through in any window of this length: the customer's limit
 * for that time, increased by the overage and the slack.
 */
struct QuotaBound {
    Milliseconds window{ 5000 };
    double overage = 0.1; // as a share of the limit
    double slack = 20; // requests
};

/** Credit expires this long after it was granted: the request must reach a backend server by then. */
inline constexpr Milliseconds CreditLife{ 500 };

/**
 * Divides the quota of one customer. Credit is granted from equal shares, each with a token bucket of its own. The
 * margin between limit and bound covers three things: a budget that all instances together may use without a grant,
 * credit that is used later than it was granted, in another window, and the capacity of the buckets, which is at least
 * one request each. Where the margin is too small for them, less than the limit is granted.
 */
class QuotaPlan {
public:
    QuotaPlan(const CustomerLimit& limit, const QuotaBound& bound);

    /** Rate and capacity of the bucket of one credit share. */
    TokenBucket::Rate shareRate() const;
    /** Requests that all instances together may let through without a grant. */
    double usableWithoutGrantPerSecond() const;

private:
    /** Requests a window between the limit and the bound. */
    double margin() const;

    CustomerLimit limit;
    QuotaBound bound;
};

}
