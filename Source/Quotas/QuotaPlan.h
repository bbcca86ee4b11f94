#pragma once

#include "Base/Milliseconds.h"
#include "Customers/Customer.h"

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
 * Divides the quota of one customer. One instance grants credit at the rate of the limit. The margin between limit and
 * bound covers two things: a budget that all instances together may use without a grant, and credit that is used later
 * than it was granted, in another window.
 */
class QuotaPlan {
public:
    QuotaPlan(const CustomerLimit& limit, const QuotaBound& bound);

    double grantedPerSecond() const { return this->limit.requestsPerSecond; }
    /** The most credit that may be saved up and then granted at once, in requests. */
    double grantBurst() const;
    /** Requests that all instances together may let through without a grant. */
    double usableWithoutGrantPerSecond() const;

private:
    /** Requests a window between the limit and the bound. */
    double margin() const;

    CustomerLimit limit;
    QuotaBound bound;
};

}
