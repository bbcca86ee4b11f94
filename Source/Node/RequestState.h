#pragma once

#include "Admission/WaitingQueue.h"
#include "Attempts/AttemptRules.h"
#include "Crashes/RequestDigest.h"
#include "Customers/Credential.h"
#include "Measurement/ServerSearch.h"
#include "Metrics/Reasons.h"
#include "Node/CustomerAuthenticator.h"
#include "Node/ServiceState.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace burlreach {

enum class RequestPhase {
    AwaitingCredit, // its customer has a quota, and the granting instance has been asked for credit
    Probing, // waits for load reports of a few backend servers
    Waiting, // waits in the queue for a backend server with free capacity
    Sending, // one or more attempts are in flight
    Answering // its caller gets the answer of the only attempt in flight while it comes
};

/** Interval at which waiting requests are retried: no event is raised when a server's pause after a refusal ends. */
inline constexpr Milliseconds QueueCheckInterval{ 10 };

/** An attempt in flight. */
struct Flight {
    AttemptNumber attempt = 0;
    std::shared_ptr<BackendServerState> server;
    Milliseconds sentAt;
    bool isUnhindered = false; // the server's last load report showed free slots and no slowness
    bool hadRoom = false; // to this instance's knowledge, the server had a free slot for it
    std::optional<NetworkAddress> relay; // the instance through which it was sent; empty: directly
    std::optional<Milliseconds> answerBeganAt; // when its answer began to be passed on; empty: it is held until whole

    /** The time until the server had answered; the rest of a long answer says nothing about the server. */
    Milliseconds answerTime(Milliseconds now) const { return this->answerBeganAt.value_or(now) - this->sentAt; }
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
    Milliseconds deadline; // for the final answer
    Milliseconds waitUntil; // refused if not sent by then
    Milliseconds hedgeAt = Never;
    Milliseconds silentAt = Never; // when the path of an attempt without an answer is checked
    AttemptHistory history;
    unsigned attempts = 0;
    bool hedged = false;
    std::optional<HedgeDenial> hedgeDenial; // why the last hedge that was due was not sent
    bool wantsTarget = false; // selected for the new version of a roll-out
    std::optional<Milliseconds> timeLeft; // until the caller's deadline, as sent with the request
    std::optional<Milliseconds> creditGrantedAt; // when quota credit was granted; empty if none is needed
    std::optional<Milliseconds> retryAfter; // retry-after time, overrides the default of the refusal reason
    Milliseconds spentBefore; // by its caller on earlier attempts, estimated from timeLeft
    std::optional<HoldReason> heldBy; // what kept it from being sent, once its waiting time is over
    bool isLate = false; // unlikely to be answered within its target latency
    std::vector<Flight> flights;
    std::vector<std::shared_ptr<BackendServerState>> tried;
    ServerSearchState search;

    Milliseconds nextDue() const
    {
        switch (this->phase) {
        case RequestPhase::AwaitingCredit:
            return this->deadline;
        case RequestPhase::Probing:
            return std::min(this->search.roundEndsAt, this->deadline);
        case RequestPhase::Waiting:
            return std::min(this->waitUntil, this->deadline);
        case RequestPhase::Answering:
            return this->deadline;
        case RequestPhase::Sending:
            break;
        }
        return std::min({ this->hedgeAt, this->silentAt, this->deadline });
    }
};

}
