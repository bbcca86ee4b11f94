#pragma once

#include "Base/Milliseconds.h"

#include <cstdint>
#include <deque>

namespace burlreach {

/**
 * Slot time spent on probes of one backend server within any second. A probe
 * under way counts with the most that it may take.
 */
class ProbeBudget {
public:
    explicit ProbeBudget(Milliseconds perSecond);

    void setPerSecond(Milliseconds perSecond) { this->perSecond = perSecond; }
    /** The most that the next probe may take; it is cancelled then. */
    Milliseconds longestProbe() const;
    bool hasRoom(Milliseconds now);
    void started(std::uint64_t probe, Milliseconds now);
    void ended(std::uint64_t probe, Milliseconds took, Milliseconds now);
    /** Slot time within the last second, probes under way at their most. */
    Milliseconds spent(Milliseconds now);

private:
    struct Entry {
        std::uint64_t probe = 0;
        bool underWay = true;
        Milliseconds cost;
        Milliseconds leavesWindow = Never;
    };

    Milliseconds perSecond;
    Milliseconds usualCost{ 6 };
    std::deque<Entry> entries;
};

}
