#pragma once

#include "Base/Milliseconds.h"

#include <cstddef>

namespace burlreach {

/**
 * How many requests this instance keeps in flight at one backend server. The
 * limit grows by one for each full round of good answers at the limit, and
 * shrinks by a share when the backend server refuses or times out.
 */
class ConcurrencyLimit {
public:
    struct Options {
        double initial = 16;
        double lowest = 3;
        double highest = 200;
        double shrinkFactor = 0.9;
        Milliseconds shrinkGap{ 50 }; // between two shrinkings
    };

    explicit ConcurrencyLimit(Options options);

    void setHighest(double highest);
    void succeeded(std::size_t inFlight);
    void overloaded(Milliseconds now);
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
