#pragma once

#include <cstddef>

namespace burlreach {

/**
 * Estimates how much longer requests of a service take at a nearly full backend server than at one with free slots.
 * Some services slow down so much when their last slots are used that their throughput falls.
 */
class SaturationEstimate {
public:
    /**
     * `time` is in units of the expected time of the request, `use` the share of slots in use, this request included.
     */
    void add(double time, double use);

    /** How many times longer requests take at a full server; 1 until there are enough samples. */
    double slowdown() const;
    /** Concurrent requests that a server with this many slots should get. */
    double slotsToUse(double slots) const;

private:
    /** A moving average in which older samples lose weight. */
    struct Mean {
        double value = 0;
        std::size_t samples = 0;

        void add(double sample);
    };

    Mean free;
    Mean full;
};

}
