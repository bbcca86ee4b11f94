#pragma once

#include "Base/Milliseconds.h"

#include <cstddef>
#include <optional>

namespace burlreach {

/**
 * Estimates the number of instances in the fleet for limits that all instances share. An estimate that is too small
 * would make each instance take too large a share. Counts are too small while instances are cut off from each other or
 * have just started. So the estimate is the largest of the counts of the last minutes and of the number recorded in the
 * store, which an instance that starts behind a cut has as well.
 */
class FleetSize {
public:
    /** Records a count of the fleet. Must be called regularly, from the start of this instance on. */
    void counted(std::size_t instances, Milliseconds now);
    /** Sets the number recorded in the store; 0: none. */
    void setRecorded(std::size_t instances, Milliseconds now);

    std::size_t recorded() const { return this->recordedSize; }
    /** The estimate, which may be too small until this instance knows the others. */
    std::size_t largest() const;
    /** The estimate; nullopt until this instance has run long enough to know the others. */
    std::optional<std::size_t> atLeast(Milliseconds now) const;
    /** The number that the store's record should hold; nullopt while it is unknown. */
    std::optional<std::size_t> toRecord(Milliseconds now) const;

private:
    /** The largest count of this instance in the last minutes. */
    std::size_t largestCount() const;

    Milliseconds firstCountAt = Never; // time of the first count
    Milliseconds periodStart = LongAgo; // start of the present period
    std::size_t largestInPeriod = 0; // count in the present period
    std::size_t largestInPreviousPeriod = 0; // count in the previous period
    std::size_t recordedSize = 0;
    Milliseconds recordedAt = LongAgo; // when the recorded number last changed
};

}
