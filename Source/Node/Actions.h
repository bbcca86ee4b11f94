#pragma once

#include "Admission/WaitingQueue.h"
#include "Configuration/ChangeListener.h"
#include "Configuration/RoutingConfiguration.h"
#include "Measurement/ProbeManager.h"
#include "Metrics/Reasons.h"
#include "Node/ChangeSource.h"
#include "Node/DecisionRecord.h"
#include "Reachability/RelayNumber.h"
#include "Reachability/RelayRefusal.h"
#include "Routing/AttemptResult.h"
#include "Store/StoreCall.h"
#include "Store/StoreItem.h"
#include "operators.pb.h"
#include "peers.pb.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace burlreach {

/** Whether a refused request may have run, as reported to the caller. */
enum class RefusedOutcome {
    NotRun, // no backend server ran it, and none will
    Unknown // it may have run
};

/** Send the request to a backend server and report the result with AttemptEnded. */
struct SendAttempt {
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
    std::string backendServer; // id of the server that must run it; any other server at the address refuses
    std::uint64_t life = 0; // of the server, from its store record; higher after each restart
    NetworkAddress address;
    Milliseconds timeLeft; // until the final answer is due
    bool mayRepeat = false; // the request may run more than once
    bool withholdsKey = false; // the caller's key and claimed customer name are withheld from the server
    std::string customer; // name forwarded to the server; empty: the request belongs to no customer
    std::optional<NetworkAddress> relay; // the instance through which to connect; empty: directly
};

/** Cancel an attempt and notify the backend server; AttemptEnded is not expected. */
struct CancelAttempt {
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
};

/** Pass the answer of this attempt on to the caller while it comes; its end is reported with AttemptEnded. */
struct BeginAnswer {
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
};

/** Forward the complete answer of this attempt to the caller, or end the one that was begun. */
struct ForwardAnswer {
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
};

/**
 * Answer the caller with an error instead of a backend server's answer. If a part of an answer was written already, its
 * connection is ended instead, so that the caller sees that the answer is broken.
 */
struct RefuseRequest {
    RequestNumber request = 0;
    RefusedOutcome outcome = RefusedOutcome::NotRun;
    RefusalReason reason = RefusalReason::NoRoute;
    Milliseconds retryAfter;
};

/** Probe a backend server and report the result with ProbeEnded. */
struct SendProbe {
    Probe probe;
    std::optional<NetworkAddress> relay; // the instance through which to connect; empty: directly
};

/**
 * Stop sending requests to this backend server: attempts of which no byte was
 * written end as not sent, and idle connections to the server are closed.
 */
struct StopSendingTo {
    std::string backendServer;
    bool keepsConnections = false; // leave idle connections open, because the server will receive requests again
};

/**
 * Check whether the process of a backend server still accepts connections and
 * report the result with ServerChecked. A connection that succeeds is kept for
 * the next request.
 */
struct CheckServer {
    std::string backendServer;
    NetworkAddress address;
    std::optional<NetworkAddress> relay; // the instance through which to connect; empty: directly
    bool isForPath = false; // the check is about the network path, not about the server's process
};

/** Answer another instance that asked to relay a connection to a backend server. */
struct AnswerRelay {
    RelayNumber relay = 0;
    std::string backendServer;
    std::optional<NetworkAddress> address; // of the server; empty: this instance does not relay to it
    RelayRefusal refusal = RelayRefusal::NoPath; // the reason if the address is empty
};

/** Apply new limits on what callers may send. */
struct SetCallerLimits {
    CallerLimits limits;
};

/** Send a message to another instance; delivery is not guaranteed. */
struct SendToPeer {
    NetworkAddress address;
    peers::PeerMessage message;
};

/** Call the store and report the answer with StoreAnswered. */
struct CallStore {
    StoreRequest request;
};

/**
 * Translate a large item of the store with translateItem() outside the node,
 * so that requests do not wait for it, and report the result with
 * ItemTranslated.
 */
struct TranslateItem {
    StoreItem item;
    ChangeSource source = ChangeSource::Store;
};

/** Answer an operator's request for a configuration change. */
struct AnswerChange {
    OperatorCallNumber call = 0;
    v1::ChangeAnswer answer;
};

/** Answer an operator's question which store revision is in force on each instance. */
struct AnswerInForce {
    OperatorCallNumber call = 0;
    v1::ShowInForceAnswer answer;
};

using Action = std::variant<SendAttempt, CancelAttempt, BeginAnswer, ForwardAnswer, RefuseRequest, SendProbe,
    StopSendingTo, CheckServer, AnswerRelay, SetCallerLimits, SendToPeer, CallStore, TranslateItem, AnswerChange,
    AnswerInForce, DecisionRecord>;
using Actions = std::vector<Action>;

}
