#pragma once

#include "Base/Milliseconds.h"

#include <cstdint>
#include <optional>

namespace burlreach {

using AttemptNumber = std::uint64_t;

/** How sending a request to a backend server ended. */
enum class AttemptResult {
    Answered, // whole answer
    ErrorAnswer, // whole answer that says the backend server failed (status 500 and above)
    NotSent, // no byte of the request can have reached the backend server
    RefusedNotRun, // the backend server said that it did not run the request
    Broken, // the connection ended before a whole answer
    TimedOut, // no whole answer in time
    Cancelled // given up by this instance
};

/** True when it is proved that the backend server did not run the request. */
constexpr bool isProvedNotRun(AttemptResult result)
{
    return result == AttemptResult::NotSent || result == AttemptResult::RefusedNotRun;
}

/** The end of an attempt, with what the answer told on the side. */
struct AttemptEnd {
    AttemptResult result = AttemptResult::Broken;
    std::optional<std::uint32_t> reportedInFlight;
    bool leaving = false; // the backend server said that it is leaving
};

}
