#pragma once

#include "Base/Milliseconds.h"
#include "Node/Actions.h"

#include <cstdint>
#include <string>

namespace burlreach {

enum class CallerOutcome {
    Waiting,
    Answered, // a backend server's whole answer
    Failed, // a backend server's answer that says it failed
    NotRun, // told: no backend server ran it, and none will
    Unknown, // told: it may have run
    Cut, // the instance ended without a word
    Left // the caller went away by itself
};

/** One request as its caller sees it. */
struct VirtualCaller {
    std::uint64_t number = 0;
    std::string requestId;
    std::size_t instance = 0;
    bool runOnce = false;
    std::string kind; // of the caller's own choice
    bool crashesServers = false;
    Milliseconds sentAt;
    Milliseconds deadline;
    CallerOutcome outcome = CallerOutcome::Waiting;
    RefusalReason reason = RefusalReason::NoRoute;
    Milliseconds comeBackAfter;
    Milliseconds endedAt = Never;
    std::string answerOf; // the request that the answer belongs to
};

}
