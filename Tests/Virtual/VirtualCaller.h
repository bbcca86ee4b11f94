#pragma once

#include "Base/Milliseconds.h"
#include "Node/Actions.h"

#include <cstdint>
#include <string>

namespace burlreach {

enum class CallerOutcome {
    Waiting,
    Answered, // received a backend server's complete answer
    Failed, // received a backend server's error answer
    NotRun, // refused: no backend server ran the request, and none will
    Unknown, // refused: a backend server may have run the request
    Cut, // the instance was not running or was killed before it answered
    Left // the caller gave up and disconnected
};

/** One request and its outcome, as its caller sees them. */
struct VirtualCaller {
    std::uint64_t number = 0;
    std::string requestId;
    std::size_t instance = 0;
    bool runOnce = false;
    std::string host;
    std::string kind; // label that the test chose to tell requests apart
    bool crashesServers = false;
    Milliseconds sentAt;
    Milliseconds deadline;
    CallerOutcome outcome = CallerOutcome::Waiting;
    RefusalReason reason = RefusalReason::NoRoute;
    /** Refused because no instance reaches the service, although one that could relay has reached it for a while. */
    bool wasRefusedDespitePath = false;
    bool wasCutByStop = false; // the instance ended by a planned stop before it answered
    Milliseconds comeBackAfter;
    Milliseconds endedAt = Never;
    std::string answerOf; // id of the request to which the received answer belongs
};

}
