#pragma once

#include <cstddef>

namespace burlreach {

/**
 * Learns how much longer requests take at a nearly full backend server of a
 * service than at one with free slots. Some services slow down so much when
 * their last slots are used that they answer fewer requests than before.
 */
class CrowdingEstimate {
public:
    /**
     * The time is in expected times of the request; the use is how much of the
     * slots was taken with it, 1 when all are.
     */
    void add(double time, double use);

    /** How many times longer; 1 until enough was seen. */
    double slowdown() const;
    /** Requests that a server with so many slots should be given at once. */
    double usefulSlots(double slots) const;

private:
    /** A mean that forgets. */
    struct Mean {
        double value = 0;
        std::size_t samples = 0;

        void add(double sample);
    };

    Mean free;
    Mean full;
};

}
