#pragma once

#include "Base/Milliseconds.h"
#include "Tests/Virtual/VirtualFleet.h"

#include <cstddef>
#include <string>
#include <vector>

namespace burlreach {

/** What a limit that a backend server named allows in a sliding window. */
struct LimitBound {
    Milliseconds window{ 4000 };
    double factor = 1.5; // of the limit
    double more = 5; // requests
    Milliseconds settling{ 3000 }; // from the first word on; windows that end later count
    Milliseconds onItsWay{ 500 }; // an instance is bound so long after it heard the word
};

/** The most requests that a server got in one window, by the times at which they were sent. */
std::size_t mostInWindow(std::vector<Milliseconds> times, Milliseconds window, Milliseconds endsAfter);

/**
 * When requests came to this backend server from lives of instances that had
 * heard from the server itself, long enough before, that it has a limit.
 */
std::vector<Milliseconds> sentDespiteWord(
    const VirtualFleet& fleet, const std::string& server, const LimitBound& bound);

/** The servers that got more than their limits allowed until they named them no more, a sentence each. */
std::vector<std::string> limitsExceeded(const VirtualFleet& fleet, const LimitBound& bound, Milliseconds until);

}
