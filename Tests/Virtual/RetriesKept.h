#pragma once

#include "Attempts/RetryBudget.h"
#include "Tests/Virtual/VirtualFleet.h"

#include <string>
#include <vector>

namespace burlreach {

/** The most retries of a service within one window, and what the bound allows in that window. */
struct RetryCount {
    std::size_t arrivals = 0; // at backend servers, beyond the first of each request, from all instances together
    std::size_t requests = 0; // that callers sent
    double allowed = 0;
    Milliseconds from; // start of the window
};

/** Times, in ascending order, at which callers sent requests and at which requests reached servers again. */
struct RetryTimes {
    std::vector<Milliseconds> requests;
    std::vector<Milliseconds> repeats;
};

/**
 * The window in which the arrivals beyond the first of each request exceed their bound most, or come closest to it.
 * Requests count in whichever holds most of that window, the one before, and the one half a window before. Restarts,
 * cuts and suspensions of instances excuse nothing.
 */
RetryCount worstRetryWindow(const RetryTimes& times, const RetryLimits& limits);
RetryCount worstRetryWindow(const VirtualFleet& fleet, const RetryLimits& limits);

/** One sentence if there are too many arrivals in any window, otherwise nothing. */
std::vector<std::string> retriesExceeded(const RetryTimes& times, const RetryLimits& limits);
std::vector<std::string> retriesExceeded(const VirtualFleet& fleet, const RetryLimits& limits);

}
