#pragma once

#include "Attempts/SlidingCount.h"
#include "Customers/Customer.h"
#include "Quotas/CreditBucket.h"
#include "Quotas/QuotaPlan.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace burlreach {

/** How much an instance may grant. */
enum class GrantMode {
    None, // another one may grant everything
    Half, // another one may grant the other half
    Full
};

/** Credit as it is granted to one instance. */
struct CreditGrant {
    unsigned amount = 0; // requests
    Milliseconds wait; // until there is more, when it is less than was asked for
};

/** The credit of all customers, at the instance that grants it. */
class CreditGrants {
public:
    explicit CreditGrants(const QuotaBound& bound);

    /**
     * This instance begins to grant. Full buckets only when nobody granted
     * before: what another one granted just then is not known here.
     */
    void begin(bool isFirst, Milliseconds now);
    CreditGrant grant(const Customer& customer, unsigned wanted, GrantMode mode, Milliseconds now);
    /** Requests of this customer in the last span that its limit counts. */
    std::uint64_t granted(const std::string& customer, Milliseconds now) const;

private:
    struct Account {
        CreditBucket bucket;
        SlidingCount granted;
    };

    CreditBucket::Rate rateOf(const QuotaPlan& plan, GrantMode mode) const;

    QuotaBound bound;
    bool beginsFull = false;
    Milliseconds began = LongAgo;
    std::unordered_map<std::string, Account> accounts; // by customer
};

}
