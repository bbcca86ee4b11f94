#pragma once

#include "Base/Milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace burlreach {

/** A fleet of slow instances that starts while its backend servers register; the configuration changes afterwards. */
struct StartPlay {
    std::string name;
    std::size_t instances = 0;
    std::size_t strong = 0; // instances with half a processor and 400 Mbit/s; the others have a tenth and 20 Mbit/s
    std::size_t servers = 0;
    /** Plays a return of all instances in place of the registrations: they start while the store holds everything. */
    bool isReturn = false;
};

/** What a play has shown. */
struct StartResult {
    std::vector<Milliseconds> inForceAfter; // for each change, until every instance had it; Never: not within the bound
    std::vector<std::size_t> behind; // for each change, instances without it at the bound
    Milliseconds quarterReadyAfter; // in a return, until a quarter of the instances had everything; Never: not in time
    std::size_t ready = 0; // in a return, instances that had everything at the bound
    std::size_t watches = 0; // calls to the store that wait for changes
    double mostWatches = 0; // their bound
    std::uint64_t pulls = 0;
    std::uint64_t packings = 0;
    double peerMegabytes = 0;
    Milliseconds longestWait; // of an event in the line of any instance, after the registrations
};

StartResult playStart(const StartPlay& play);

/** One sentence for each bound that the result exceeds. */
std::vector<std::string> brokenBounds(const StartResult& result);

}
