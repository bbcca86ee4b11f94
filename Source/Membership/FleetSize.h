#pragma once

#include "Base/Milliseconds.h"

#include <cstddef>
#include <optional>

namespace burlreach {

/**
 * Estimates the number of instances in the fleet for limits that all instances share. An estimate that is too small
 * would make each instance take too large a share. Counts are too small while instances are cut off from each other or
 * have just started. So the estimate is the largest count of the last minutes, and it is unknown until this instance
 * has run long enough to know the others.
 */
class FleetSize {
public:
    /** Records a count of the fleet. Must be called regularly, from the start of this instance on. */
    void counted(std::size_t instances, Milliseconds now);
    /** The estimate; nullopt while it is unknown. */
    std::optional<std::size_t> atLeast(Milliseconds now) const;

private:
    Milliseconds firstCountAt = Never; // time of the first count
    Milliseconds periodStart = LongAgo; // start of the present period
    std::size_t largest = 0; // count in the present period
    std::size_t largestInPreviousPeriod = 0; // count in the previous period
};

}
