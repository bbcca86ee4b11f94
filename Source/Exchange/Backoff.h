#pragma once

#include "Base/Milliseconds.h"
#include "Base/Random.h"

namespace burlreach {

/** Waits that double up to a bound, with jitter. */
class Backoff {
public:
    struct Options {
        Milliseconds first{ 100 };
        Milliseconds longest{ 2000 };
    };

    explicit Backoff(Options options);

    /** The next wait: between half and all of the present bound. */
    Milliseconds next(Random& random);
    void reset();

private:
    Options options;
    Milliseconds bound;
};

}
