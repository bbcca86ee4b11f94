#pragma once

#include "Base/Milliseconds.h"
#include "Tests/Virtual/VirtualFleet.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace burlreach {

/** A scenario in which backend servers report request limits to a fleet under load, with optional faults. */
struct LimitPlay {
    const char* name;
    std::size_t instances;
    std::size_t servers;
    std::size_t limited; // number of the servers that report a limit
    double limit; // requests per second, for each limited server
    Milliseconds between; // interval between two requests to the whole fleet
    std::function<void(VirtualFleet&)> plan; // schedules faults; called just before servers report their limits
    bool isUsed = true; // checks that at least 70% of the limit is used
    bool isTold = true; // checks the limit also for instances that did not receive it from the server itself
    std::size_t joining = 0; // instances that are not started at the beginning
};

/** Runs the scenario; returns one sentence for each limit that was exceeded or not used enough. */
std::vector<std::string> played(const LimitPlay& play);

}
