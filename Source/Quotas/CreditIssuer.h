#pragma once

#include "Attempts/SlidingCount.h"
#include "Customers/Customer.h"
#include "Quotas/QuotaPlan.h"
#include "Quotas/TokenBucket.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace burlreach {

/** How much of each customer's limit this instance may grant. */
enum class GrantMode {
    None, // another instance may grant the whole limit
    Half, // another instance may grant the other half
    Full
};

/** Credit granted to one instance. */
struct CreditGrant {
    unsigned amount = 0; // requests
    Milliseconds wait; // until more credit accrues, when the amount is less than requested
};

/** Grants credit to all instances: holds the token buckets of all customers, at the granting instance. */
class CreditIssuer {
public:
    explicit CreditIssuer(const QuotaBound& bound);

    /**
     * Starts granting, with new buckets. They start full only when no instance granted before (`isFirst`): what a
     * predecessor granted shortly before is not known here.
     */
    void begin(bool isFirst, Milliseconds now);
    CreditGrant grant(const Customer& customer, unsigned wanted, GrantMode mode, Milliseconds now);
    /** Requests of this customer that got credit here within the last QuotaBound::window. */
    std::uint64_t granted(const std::string& customer, Milliseconds now) const;

private:
    struct Account {
        TokenBucket bucket;
        SlidingCount granted;
    };

    TokenBucket::Rate rateOf(const QuotaPlan& plan, GrantMode mode) const;

    QuotaBound bound;
    bool startsFull = false;
    Milliseconds grantingSince = LongAgo;
    std::unordered_map<std::string, Account> accounts; // by customer
};

}
