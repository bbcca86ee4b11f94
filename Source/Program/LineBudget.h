#pragma once

#include "Base/Milliseconds.h"

#include <cstdint>

namespace burlreach {

/** How many log lines of a kind are written a second; those beyond are counted. */
class LineBudget {
public:
    struct Options {
        double perSecond = 20;
        double burst = 40;
    };

    explicit LineBudget(Options options);

    /** True when a line may be written now. */
    bool take(Milliseconds now);
    /** Lines left out since the last call. */
    std::uint64_t takeLeftOut();

private:
    Options options;
    double tokens;
    Milliseconds filledAt = Never;
    std::uint64_t leftOut = 0;
};

}
