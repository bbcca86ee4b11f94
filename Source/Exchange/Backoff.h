#pragma once

#include "Base/Milliseconds.h"
#include "Base/Random.h"

namespace burlreach {

/** Exponential backoff with jitter: the bound of the wait doubles up to a maximum. */
class Backoff {
public:
    struct Options {
        Milliseconds first{ 100 };
        Milliseconds longest{ 2000 };
    };

    explicit Backoff(Options options);

    /** The next wait: random between half the present bound and the bound. */
    Milliseconds next(Random& random);
    void reset();

private:
    Options options;
    Milliseconds bound;
};

}
