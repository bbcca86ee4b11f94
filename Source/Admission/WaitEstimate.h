#pragma once

#include "Base/Milliseconds.h"

#include <cstddef>

namespace burlreach {

/**
 * How long a new request would wait: how fast places have become free lately,
 * against the number of requests ahead of it.
 */
class WaitEstimate {
public:
    /** A request left the waiting queue for a backend server. */
    void left(Milliseconds now);

    Milliseconds wait(std::size_t ahead, Milliseconds now) const;

private:
    Milliseconds gap{ 1 }; // between two requests that leave, smoothed
    Milliseconds lastLeft = LongAgo;
};

}
