#pragma once

#include "Base/Milliseconds.h"

#include <cstddef>

namespace burlreach {

/**
 * How many requests this instance keeps in flight at one backend server. The
 * limit grows by one for each full round of good answers at the limit, and
 * shrinks by a share when the backend server refuses, times out or answers
 * much slower than it can.
 */
class ConcurrencyLimit {
public:
    struct Options {
        double initial = 4;
        double lowest = 1;
        double highest = 200;
        double shrinkFactor = 0.8;
        double slowFactor = 6; // answers slower than this many unloaded times shrink the limit
    };

    explicit ConcurrencyLimit(Options options);

    void setHighest(double highest);
    void succeeded(std::size_t inFlight, Milliseconds response, Milliseconds unloaded, Milliseconds now);
    void overloaded(Milliseconds response, Milliseconds now);
    /** Back to one request, as for a backend server that was away. */
    void restart();

    bool hasRoom(std::size_t inFlight) const;
    double value() const { return this->limit; }

private:
    Options options;
    double limit;
    Milliseconds nextShrink = LongAgo;
};

}
