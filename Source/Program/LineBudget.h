#pragma once

#include "Base/Milliseconds.h"

#include <cstdint>

namespace burlreach {

/** Token bucket that limits log lines per second, and counts the lines that it suppresses. */
class LineBudget {
public:
    struct Options {
        double perSecond = 20;
        double burst = 40;
    };

    explicit LineBudget(Options options);

    /** Takes a token. Returns true when a line may be written now, else counts it as suppressed. */
    bool take(Milliseconds now);
    /** Returns the number of lines suppressed since the last call, and resets it. */
    std::uint64_t takeLeftOut();

private:
    Options options;
    double tokens;
    Milliseconds filledAt = Never;
    std::uint64_t leftOut = 0;
};

}
