#pragma once

#include "Admission/WaitingQueue.h"
#include "Configuration/ChangeListener.h"
#include "Exchange/StoreRequest.h"
#include "Measurement/ProbeScheduler.h"
#include "Membership/InstanceList.h"
#include "Metrics/Reasons.h"
#include "Routing/AttemptResult.h"
#include "operators.pb.h"
#include "peers.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace burlreach {

/** A caller sent a request. */
struct RequestArrived {
    RequestNumber request = 0; // never used twice on this instance
    std::string host;
    std::string method;
    std::string path;
    std::string requestId; // empty: the caller gave none
    std::uint32_t attempt = 0; // as the caller gave it; 0: not given
    std::optional<Milliseconds> timeLeft; // until the caller's deadline, when it gave one
    std::optional<v1::Priority> priority; // when the caller gave one
    std::size_t bodyBytes = 0;
    bool isRetry = false; // an earlier balancer on the way is retrying already
    bool isReadable = true; // false: a header of ours has no valid value
};

/** A request was refused before its decisions began; it is only counted. */
struct RefusedEarly {
    RefusalReason reason = RefusalReason::TooManySessions;
    bool hasRequestId = false;
};

/** The caller closed its connection and takes no answer any more. */
struct CallerGone {
    RequestNumber request = 0;
};

/** An attempt that was sent has ended. */
struct AttemptEnded {
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
    AttemptEnd end;
};

/** A probe that was sent has ended. */
struct ProbeEnded {
    ProbeNumber probe = 0;
    bool answered = false;
    std::uint32_t reportedInFlight = 0;
    bool leaving = false;
    Milliseconds took;
};

/** A message of another instance arrived. */
struct PeerMessageArrived {
    peers::PeerMessage message;
};

/** The platform's service answered a call. */
struct StoreAnswered {
    StoreAnswer answer;
};

/** A document was seen in the platform's service, by a watch or a poll. */
struct StoreDocumentSeen {
    StoreDocument document = StoreDocument::Configuration;
    std::string value;
};

/** The platform's list of instances was read. */
struct InstanceListSeen {
    InstanceList list;
};

/** The platform's list says that a backend server is leaving. */
struct BackendServerListedLeaving {
    std::string service;
    std::string backendServer;
};

/** An operator asked for a change. */
struct ChangeAsked {
    OperatorCallNumber call = 0;
    v1::ChangeRequest request;
};

/** An operator asked what is in force where. */
struct InForceAsked {
    OperatorCallNumber call = 0;
};

/** This instance is about to stop: it hands over what it owns. */
struct StopAsked { };

/** Time has passed; sent at least every few milliseconds. */
struct Tick { };

using Event = std::variant<RequestArrived, RefusedEarly, CallerGone, AttemptEnded, ProbeEnded, PeerMessageArrived,
    StoreAnswered, StoreDocumentSeen, InstanceListSeen, BackendServerListedLeaving, ChangeAsked, InForceAsked,
    StopAsked, Tick>;

}
