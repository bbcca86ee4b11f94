#pragma once

#include "Base/Milliseconds.h"
#include "Tests/Virtual/VirtualFleet.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace burlreach {

/** A fleet whose backend servers name limits, and what else befalls it. */
struct LimitPlay {
    const char* name;
    std::size_t instances;
    std::size_t servers;
    std::size_t limited; // of the servers
    double limit; // requests a second
    Milliseconds between; // requests of the whole fleet
    std::function<void(VirtualFleet&)> plan; // at the moment from which servers name their limits
    bool isUsed = true; // seven tenths of the limit must be used
    bool isTold = true; // those that did not hear it from the server itself must keep to it as well
    std::size_t joining = 0; // instances that are not there at the beginning
};

/** Gives what went against a limit, or that one was not used, a sentence each. */
std::vector<std::string> played(const LimitPlay& play);

}
