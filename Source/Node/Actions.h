#pragma once

#include "Admission/WaitingQueue.h"
#include "Configuration/ChangeListener.h"
#include "Configuration/RoutingConfiguration.h"
#include "Measurement/ProbeDesk.h"
#include "Metrics/Reasons.h"
#include "Node/DecisionRecord.h"
#include "Node/FactSource.h"
#include "Routing/AttemptResult.h"
#include "Store/StoreCall.h"
#include "Store/StoreItem.h"
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

/** Send the request to a backend server; report the end with AttemptEnded. */
struct SendAttempt {
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
    std::string backendServer; // the life that must take it; any other refuses
    std::uint64_t life = 0; // of the server, as its record tells it
    NetworkAddress address;
    Milliseconds timeLeft; // until the final answer is due
    bool mayRepeat = false; // the request may run more than once
    bool isKeyKept = false; // the caller's key and the name that it claims do not go on
    std::string customer; // the server is told whose request it is; empty: nobody's
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
    RefusalReason reason = RefusalReason::NoRoute;
    Milliseconds comeBackAfter;
};

/** Probe a backend server; report the end with ProbeEnded. */
struct SendProbe {
    Probe probe;
};

/**
 * No new request may go to this life of a backend server: attempts of which
 * nothing was written yet end as not sent, and idle connections to it are
 * closed.
 */
struct StopSendingTo {
    std::string backendServer;
    bool keepsConnections = false; // it will be sent requests again
};

/**
 * Look whether the process of a backend server still listens, by a connection
 * that is kept for the next request; report with ServerChecked.
 */
struct CheckServer {
    std::string backendServer;
    NetworkAddress address;
};

/** What callers may send from now on. */
struct SetCallerLimits {
    CallerLimits limits;
};

/** Send a message to another instance; it may get lost. */
struct SendToPeer {
    NetworkAddress address;
    peers::PeerMessage message;
};

/** Call the store; report the answer with StoreAnswered. */
struct AskStore {
    StoreRequest request;
};

/**
 * Read a large item of the store with translateItem(), apart from the decisions
 * on requests; report the result with ItemTranslated.
 */
struct TranslateItem {
    StoreItem item;
    FactSource source = FactSource::Store;
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

using Action = std::variant<SendAttempt, CancelAttempt, PassAnswer, RefuseRequest, SendProbe, StopSendingTo,
    CheckServer, SetCallerLimits, SendToPeer, AskStore, TranslateItem, AnswerChange, AnswerInForce, DecisionRecord>;
using Actions = std::vector<Action>;

}
