#pragma once

#include "Attempts/SlidingCount.h"
#include "Customers/Customer.h"
#include "Quotas/CreditShareItem.h"
#include "Quotas/QuotaPlan.h"
#include "Quotas/TokenBucket.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace burlreach {

/** Credit granted to one instance. */
struct CreditGrant {
    unsigned amount = 0; // requests
    Milliseconds wait; // until more credit accrues, when the amount is less than requested
};

/** Grants credit from the shares that this instance holds: has the token buckets of all customers for each share. */
class CreditIssuer {
public:
    /** A query for credit. */
    struct Request {
        const Customer* customer = nullptr; // never null
        std::size_t share = 0; // one that this instance holds, less than CreditShareCount
        unsigned wanted = 0; // requests
    };

    explicit CreditIssuer(const QuotaBound& bound);

    /**
     * Starts to grant from a share, with new buckets. They are empty at the time `since`, because what a predecessor
     * granted shortly before is not known here.
     */
    void begin(std::size_t share, Milliseconds since);
    CreditGrant grant(const Request& request, Milliseconds now);
    /** Requests of this customer that got credit here within the last QuotaBound::window. */
    std::uint64_t granted(const std::string& customer, Milliseconds now) const;

private:
    struct Account {
        TokenBucket bucket;
        SlidingCount granted;
    };

    struct Share {
        Milliseconds grantingSince = LongAgo;
        std::unordered_map<std::string, Account> accounts; // by customer
    };

    QuotaBound bound;
    std::array<Share, CreditShareCount> shares;
};

}
