#pragma once

#include "Admission/WaitingQueue.h"
#include "Base/NetworkAddress.h"
#include "Configuration/ChangeListener.h"
#include "Crashes/RequestDigest.h"
#include "Customers/Credential.h"
#include "Measurement/ProbeManager.h"
#include "Metrics/Reasons.h"
#include "Node/StopTimes.h"
#include "Reachability/RelayNumber.h"
#include "Routing/AttemptResult.h"
#include "Routing/ConnectOutcome.h"
#include "Routing/ServerNotice.h"
#include "Store/StoreCall.h"
#include "operators.pb.h"
#include "peers.pb.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace burlreach {

/** A caller's request was received completely. */
struct RequestArrived {
    RequestNumber request = 0; // unique on this instance
    std::string host;
    std::string method;
    std::string path;
    std::string requestId; // empty: the caller gave none
    std::optional<Milliseconds> timeLeft; // until the caller's deadline, when it gave one
    std::size_t bodyBytes = 0;
    std::string caller; // the caller's address, without the port
    Credential credential;
    RequestDigest digest; // when unknown, crashes during this request are not recorded
};

/** A request was refused before it reached the node; it is counted, and logged if its caller is known. */
struct RefusedEarly {
    RefusalReason reason = RefusalReason::TooManySessions;
    std::string caller; // the caller's address, without the port; empty: not known
};

/** The caller closed its connection before its request was answered. */
struct CallerGone {
    RequestNumber request = 0;
};

/**
 * A part of the answer to an attempt has come, and the rest may take long: the header, and what came behind it.
 * Answered with BeginAnswer if the caller gets the answer while it comes; otherwise it is held until it is whole.
 */
struct AnswerBegun {
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
    AttemptEnd end; // as if the answer were whole
};

/** An attempt requested by SendAttempt has ended. */
struct AttemptEnded {
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
    std::string backendServer;
    AttemptEnd end;
};

/**
 * The header of an answer to an attempt or a probe held a notice of the server about itself. This event precedes
 * AttemptEnded or ProbeEnded.
 */
struct ServerNoticed {
    std::string backendServer;
    std::uint64_t life = 0;
    ServerNotice notice;
    Milliseconds sentAt = LongAgo; // when the attempt or probe that is answered was sent
};

/** A backend server's answer held a header field that burlreach does not read; posted once per field. */
struct UnreadFieldSeen {
    std::string backendServer;
    std::string field;
    std::string value; // truncated
};

/** A probe requested by SendProbe has ended. */
struct ProbeEnded {
    ProbeNumber probe = 0;
    ProbeEnd end;
};

/** A check requested by CheckServer has ended. */
struct ServerChecked {
    std::string backendServer;
    ConnectOutcome result = ConnectOutcome::NoAnswer;
    std::optional<NetworkAddress> relay; // the instance through which the connection was opened
    bool isForPath = false; // as in CheckServer
};

/** Another instance asked this one to relay a connection to a backend server; answered with AnswerRelay. */
struct RelayAsked {
    RelayNumber relay = 0;
    std::string backendServer;
};

/** A connection that this instance was to relay could not be established; answered with another AnswerRelay. */
struct RelayConnectFailed {
    RelayNumber relay = 0;
    std::string backendServer;
    ConnectOutcome result = ConnectOutcome::NoAnswer; // refused or not answered
};

/** A message of another instance arrived. */
struct PeerMessageArrived {
    peers::PeerMessage message;
};

/** A call to the store was answered or failed. */
struct StoreAnswered {
    StoreAnswer answer;
};

struct TranslatedItem;

/** A translation requested by TranslateItem has ended. */
struct ItemTranslated {
    std::shared_ptr<const TranslatedItem> item; // never null
};

/** The list of seed instances in the settings changed. */
struct SeedsChanged {
    std::vector<NetworkAddress> seeds;
};

/** An operator requested a configuration change. */
struct ChangeAsked {
    OperatorCallNumber call = 0;
    v1::ChangeRequest request;
};

/** An operator asked which store revision is in force on each instance. */
struct InForceAsked {
    OperatorCallNumber call = 0;
};

/** This instance was asked to stop and drains its requests. */
struct StopAsked {
    StopTimes times;
};

/** The time returned by Node::nextRequestDue() was reached. */
struct RequestTimer { };

/** The time returned by Node::nextControlDue() was reached. */
struct ControlTimer { };

using Event = std::variant<RequestArrived, RefusedEarly, CallerGone, AnswerBegun, AttemptEnded, ServerNoticed,
    UnreadFieldSeen, ProbeEnded, ServerChecked, RelayAsked, RelayConnectFailed, PeerMessageArrived, StoreAnswered,
    ItemTranslated, SeedsChanged, ChangeAsked, InForceAsked, StopAsked, RequestTimer, ControlTimer>;

/** The event's name in log lines; for a peer's message, the kind of its body. */
std::string_view nameOf(const Event& event);

}
