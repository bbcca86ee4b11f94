#pragma once

#include "Base/Milliseconds.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace burlreach {

using AttemptNumber = std::uint64_t;

/** How sending a request to a backend server ended. */
enum class AttemptResult {
    Answered, // whole answer
    ErrorAnswer, // whole answer that says the backend server failed
    NotSent, // no byte of the request can have reached the backend server
    RefusedNotRun, // the backend server said that it did not run the request
    OtherServer, // another backend server has the address now; it did not run the request
    Broken, // the connection ended before a whole answer, or what came is no answer
    TimedOut, // no whole answer in time
    Cancelled // given up by this instance
};

inline constexpr std::size_t AttemptResultCount = 8;

/** True when it is proved that the backend server did not run the request. */
constexpr bool isProvedNotRun(AttemptResult result)
{
    return result == AttemptResult::NotSent || result == AttemptResult::RefusedNotRun
        || result == AttemptResult::OtherServer;
}

/** A name as it stands in log lines, such as "refused_not_run". */
std::string_view nameOf(AttemptResult result);

/** What a backend server said of its load. */
struct LoadFigures {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0; // 0: not told
    std::uint32_t workPercent = 100; // how long work takes there at this moment; 100: as usual
};

/** The end of an attempt, with what the answer told on the side. */
struct AttemptEnd {
    AttemptResult result = AttemptResult::Broken;
    std::optional<LoadFigures> load;
    int status = 0; // of the answer; 0: there was none
    bool isPromise = false; // the status says "not run" although the answer proves nothing
};

}
