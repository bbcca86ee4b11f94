#pragma once

#include "Base/Milliseconds.h"

namespace burlreach {

/** A token bucket: credit accrues at a fixed rate up to a maximum and is taken in whole requests. */
class TokenBucket {
public:
    struct Rate {
        double perSecond = 0; // requests
        double capacity = 0; // capacity of the bucket, in requests
    };

    TokenBucket(double tokens, Milliseconds now);

    /** Adds the credit accrued since the last call, then takes credit for up to `wanted` requests; returns how many. */
    unsigned take(unsigned wanted, const Rate& rate, Milliseconds now);
    /** The time until there is credit for one more request; Never when none accrues. */
    Milliseconds timeUntilNext(const Rate& rate) const;

private:
    double tokens;
    Milliseconds filledAt;
};

}
