#pragma once

#include "Base/Milliseconds.h"

namespace burlreach {

/** Credit that grows with time up to a bound, and is taken in whole requests. */
class CreditBucket {
public:
    struct Rate {
        double perSecond = 0;
        double most = 0; // that is saved up
    };

    CreditBucket(double saved, Milliseconds now);

    /** As many of the wanted requests as there is credit for; it is gone then. */
    unsigned take(unsigned wanted, const Rate& rate, Milliseconds now);
    /** Until there is credit for one more request. */
    Milliseconds untilNext(const Rate& rate) const;

private:
    double saved;
    Milliseconds filledAt;
};

}
