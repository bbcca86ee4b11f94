#pragma once

#include "Admission/WaitingQueue.h"
#include "Attempts/AttemptRules.h"
#include "Crashes/RequestDigest.h"
#include "Customers/Credential.h"
#include "Measurement/ServerSearch.h"
#include "Node/CustomerGate.h"
#include "Node/ServiceState.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace burlreach {

enum class RequestPhase {
    AwaitingCredit, // its customer has a limit, and the instance that grants credit is asked
    Asking, // waits for the load figures of a few backend servers
    Waiting, // waits for a backend server with room
    Sending // one or more attempts are under way
};

/** While backend servers rest after refusals, the queue is looked at this often. */
inline constexpr Milliseconds PumpInterval{ 10 };

/** An attempt under way. */
struct Flight {
    AttemptNumber attempt = 0;
    std::shared_ptr<BackendServerState> server;
    Milliseconds sentAt;
    bool isUnhindered = false; // the server had said that it had room and was not slow
    bool hadRoom = false; // as far as was known here, the server had a slot for it
};

/** A request from its arrival to its final answer. */
struct RequestState {
    RequestNumber number = 0;
    std::string requestId;
    RequestDigest digest;
    std::string path;
    std::string caller;
    Credential credential;
    CallerIdentity identity;
    std::shared_ptr<const Route> route;
    std::shared_ptr<ServiceState> service;
    RequestPhase phase = RequestPhase::Waiting;
    Milliseconds arrivedAt;
    Milliseconds deadline; // the final answer is due
    Milliseconds waitUntil; // then it is refused rather than kept waiting
    Milliseconds hedgeAt = Never;
    AttemptHistory history;
    unsigned attempts = 0;
    bool hedged = false;
    bool wantsTarget = false; // it is for the version of its service that is tried
    std::optional<Milliseconds> timeLeft; // as its caller told it when it came
    std::optional<Milliseconds> creditAt; // when credit for it was granted, unless it needs none
    std::optional<Milliseconds> comeBackAfter; // known better than by the reason of a refusal
    Milliseconds spent; // by its caller before it came here, as far as its time left tells
    bool isLate = false; // its caller can hardly be in time any more
    std::vector<Flight> flights;
    std::vector<std::shared_ptr<BackendServerState>> tried;
    RequestSearch search;

    Milliseconds nextDue() const
    {
        switch (this->phase) {
        case RequestPhase::AwaitingCredit:
            return this->deadline;
        case RequestPhase::Asking:
            return std::min(this->search.askUntil, this->deadline);
        case RequestPhase::Waiting:
            return std::min(this->waitUntil, this->deadline);
        case RequestPhase::Sending:
            break;
        }
        return std::min(this->hedgeAt, this->deadline);
    }
};

}
