#pragma once

#include "Base/Milliseconds.h"
#include "Customers/Customer.h"

namespace burlreach {

/**
 * What the fleet may let through of a customer in each span of this length:
 * its limit over the span, with so much beyond it.
 */
struct QuotaBound {
    Milliseconds window{ 5000 };
    double overage = 0.1; // share of the limit
    double slack = 20; // requests
};

/** A request must reach a backend server within this time after its credit was granted. */
inline constexpr Milliseconds CreditLife{ 500 };

/**
 * How the bound of one customer is divided. One instance grants credit at the
 * rate of the limit. What lies between limit and bound is for two things: a
 * part that all instances may use without asking, and the credit that is used
 * later than it was granted.
 */
class QuotaPlan {
public:
    QuotaPlan(const CustomerLimit& limit, const QuotaBound& bound);

    double grantedPerSecond() const { return this->limit.requestsPerSecond; }
    /** Credit that may be saved up to be granted at once. */
    double grantedAtOnce() const;
    /** By all instances together, without asking. */
    double dealtPerSecond() const;

private:
    double beyondLimit() const;

    CustomerLimit limit;
    QuotaBound bound;
};

}
