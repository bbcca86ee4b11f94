#pragma once

#include "Base/Milliseconds.h"

#include <cstddef>
#include <optional>

namespace burlreach {

/**
 * How many instances the fleet has at least, for bounds on what all of them do
 * together. Counts fall while instances are cut off from each other or start,
 * though the others go on: so the largest count of some minutes is taken, and
 * none before an instance has run long enough to have heard of the others.
 */
class FleetSize {
public:
    /** The fleet was counted; to be called again and again from the start on. */
    void counted(std::size_t instances, Milliseconds now);
    /** Nothing while it is not known. */
    std::optional<std::size_t> atLeast(Milliseconds now) const;

private:
    Milliseconds began = Never; // first count
    Milliseconds spanBegan = LongAgo;
    std::size_t largest = 0; // of the present span
    std::size_t largestBefore = 0; // of the span before it
};

}
