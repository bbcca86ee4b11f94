#pragma once

#include "Admission/WaitingQueue.h"
#include "Node/ServiceState.h"
#include "Ownership/ClaimClient.h"
#include "Routing/RequestRules.h"

#include <memory>
#include <vector>

namespace burlreach {

enum class RequestPhase {
    Claiming, // waits for the right to be sent
    Waiting, // waits for a backend server with room
    Sending // one or more attempts are under way
};

/** An attempt under way. */
struct Flight {
    AttemptNumber attempt = 0;
    std::shared_ptr<BackendServerState> server;
    Milliseconds sentAt;
};

/** A request from its arrival to its final answer. */
struct RequestState {
    RequestNumber number = 0;
    std::shared_ptr<ServiceState> service;
    RequestClass kind;
    ClaimRequest claim;
    bool isRetryOfOthers = false;
    RequestPhase phase = RequestPhase::Waiting;
    Milliseconds arrivedAt;
    Milliseconds deadline;
    bool granted = false;
    bool mayHaveRun = false; // an attempt ended without proof that it did not run
    unsigned attempts = 0;
    Milliseconds hedgeAt = Never;
    std::vector<Flight> flights;
    std::vector<std::shared_ptr<BackendServerState>> tried;

    bool isRunOnce() const { return this->kind.repeat == v1::RUN_ONCE; }
    /** Heavy requests that can wait would only double their load. */
    bool mayBeHedged() const
    {
        return !this->isRunOnce() && !this->isRetryOfOthers && this->kind.priority != v1::CAN_WAIT;
    }
};

}
