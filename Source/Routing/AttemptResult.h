#pragma once

#include "Base/Milliseconds.h"
#include "Routing/ConnectOutcome.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace burlreach {

using AttemptNumber = std::uint64_t;

/** Outcome of sending a request to a backend server. */
enum class AttemptResult {
    Answered, // complete answer
    ErrorAnswer, // complete answer with a status that reports a failure of the backend server
    NotSent, // no byte of the request can have reached the backend server
    RefusedNotRun, // the backend server declared that it did not run the request
    OtherServer, // another backend server now has this address; it did not run the request
    Broken, // the connection closed before the answer was complete, or the answer is invalid
    TimedOut, // no complete answer before the deadline
    Cancelled // abandoned by this instance
};

inline constexpr std::size_t AttemptResultCount = 8;

/** True when the result proves that the backend server did not run the request. */
constexpr bool isProvedNotRun(AttemptResult result)
{
    return result == AttemptResult::NotSent || result == AttemptResult::RefusedNotRun
        || result == AttemptResult::OtherServer;
}

/** The name used in log lines, such as "refused_not_run". */
std::string_view nameOf(AttemptResult result);

/** The load that a backend server reported. */
struct ReportedLoad {
    std::uint32_t running = 0; // requests
    std::uint32_t waiting = 0; // requests
    std::uint32_t slots = 0; // requests that it runs at once; 0: not reported
    std::uint32_t workPercent = 100; // current duration of work, in percent of the usual duration
};

/** The outcome of an attempt, with what the headers of the answer reported. */
struct AttemptEnd {
    AttemptResult result = AttemptResult::Broken;
    std::optional<ReportedLoad> load;
    int status = 0; // HTTP status of the answer; 0: no answer
    bool claimsNotRun = false; // the status implies "not run", but the answer does not prove it
    std::string_view problem; // for log lines: why what came is not the answer; static text
    ConnectOutcome connect = ConnectOutcome::Connected;
    std::optional<Milliseconds> sinceHeader; // from the header to the end; empty: no header, or all came at once
    std::uint64_t passedOnBytes = 0; // of the body, passed on to the caller while they came
    bool hasRelayEnded = false; // broken by the instance that relayed the connection; the server is not to blame
};

}
