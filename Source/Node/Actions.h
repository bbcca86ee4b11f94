#pragma once

#include "Admission/WaitingQueue.h"
#include "Configuration/ChangeListener.h"
#include "Exchange/StoreRequest.h"
#include "Measurement/ProbeScheduler.h"
#include "Metrics/Reasons.h"
#include "Routing/AttemptResult.h"
#include "operators.pb.h"
#include "peers.pb.h"

#include <string>
#include <variant>
#include <vector>

namespace burlreach {

/** What a refused caller is told of its request. */
enum class RefusedOutcome {
    NotRun, // no backend server ran it, and none will
    Unknown // it may have run
};

/**
 * Of a request that is refused before anything was claimed: another instance
 * may have taken the same id, unless the caller gave none.
 */
constexpr RefusedOutcome outcomeWithoutClaim(bool hasRequestId)
{
    return hasRequestId ? RefusedOutcome::Unknown : RefusedOutcome::NotRun;
}

/** Send the request to a backend server; report the end with AttemptEnded. */
struct SendAttempt {
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
    std::string service;
    std::string backendServer;
    NetworkAddress address;
    std::string requestId; // to be passed on; may be one that was issued here
    Milliseconds timeLeft; // until the deadline
    bool isRetry = false; // passed on, so that deeper balancers do not retry too
};

/** Give an attempt up and tell the backend server; no AttemptEnded is awaited. */
struct CancelAttempt {
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
};

/** Pass the whole answer of this attempt to the caller. */
struct PassAnswer {
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
};

/** Answer the caller now, without a backend server's answer. */
struct RefuseRequest {
    RequestNumber request = 0;
    RefusedOutcome outcome = RefusedOutcome::NotRun;
    RefusalReason reason = RefusalReason::NoService;
    Milliseconds comeBackAfter;
    std::string requestId;
};

/** Send a message to another instance; it may get lost. */
struct SendToPeer {
    NetworkAddress address;
    peers::PeerMessage message;
};

/** Call the platform's service; report the answer with StoreAnswered. */
struct AskStore {
    StoreRequest request;
};

/** Probe a backend server; report the end with ProbeEnded. */
struct SendProbe {
    Probe probe;
};

/** Answer an operator's change. */
struct AnswerChange {
    OperatorCallNumber call = 0;
    v1::ChangeAnswer answer;
};

/** Answer an operator's question about what is in force where. */
struct AnswerInForce {
    OperatorCallNumber call = 0;
    v1::ShowInForceAnswer answer;
};

using Action = std::variant<SendAttempt, CancelAttempt, PassAnswer, RefuseRequest, SendToPeer, AskStore, SendProbe,
    AnswerChange, AnswerInForce>;
using Actions = std::vector<Action>;

}
