#pragma once

#include "Base/Milliseconds.h"
#include "Tests/Virtual/VirtualFleet.h"

#include <cstddef>
#include <string>
#include <vector>

namespace burlreach {

/** How many requests a limit reported by a backend server allows in a sliding window. */
struct LimitBound {
    Milliseconds window{ 4000 };
    double factor = 1.5; // multiple of the limit that is allowed
    double more = 5; // requests allowed in a window on top of that
    Milliseconds settling{ 3000 }; // after the first report of the limit; only windows that end later are checked
    Milliseconds onItsWay{ 500 }; // grace from when an instance receives the limit until it must keep to it
};

/** The most requests in one window, given the times of all requests; windows that end before endsAfter are ignored. */
std::size_t mostInWindow(std::vector<Milliseconds> times, Milliseconds window, Milliseconds endsAfter);

/**
 * The times at which instances sent requests to this backend server although they had received its limit from the
 * server itself, in the same life and at least LimitBound::onItsWay before.
 */
std::vector<Milliseconds> sentDespiteWord(
    const VirtualFleet& fleet, const std::string& server, const LimitBound& bound);

/**
 * One sentence for each server that was sent more than its limit allows. Requests after until, when servers stop
 * reporting limits, are ignored.
 */
std::vector<std::string> limitsExceeded(const VirtualFleet& fleet, const LimitBound& bound, Milliseconds until);

}
