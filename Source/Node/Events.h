#pragma once

#include "Admission/WaitingQueue.h"
#include "Base/NetworkAddress.h"
#include "Configuration/ChangeListener.h"
#include "Crashes/RequestDigest.h"
#include "Customers/Credential.h"
#include "Measurement/ProbeDesk.h"
#include "Metrics/Reasons.h"
#include "Routing/AttemptResult.h"
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

/** A caller sent a whole request. */
struct RequestArrived {
    RequestNumber request = 0; // never used twice on this instance
    std::string host;
    std::string method;
    std::string path;
    std::string requestId; // empty: the caller gave none
    std::optional<Milliseconds> timeLeft; // until the caller's deadline, when it gave one
    std::size_t bodyBytes = 0;
    std::string caller; // the address from which it came, without the port
    Credential credential;
    RequestDigest digest; // not known: nothing is remembered of it
};

/** A request was refused before its decisions began; it is only counted. */
struct RefusedEarly {
    RefusalReason reason = RefusalReason::TooManySessions;
};

/** The caller closed its connection and takes no answer any more. */
struct CallerGone {
    RequestNumber request = 0;
};

/** An attempt that was sent has ended. */
struct AttemptEnded {
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
    std::string backendServer;
    AttemptEnd end;
};

/** The header of an answer to an attempt or a probe says something of the server itself; it comes before their end. */
struct ServerNoticed {
    std::string backendServer;
    std::uint64_t life = 0;
    ServerNotice notice;
    Milliseconds sentAt = LongAgo; // what is answered was sent then
};

/** An answer held a field that nothing here reads, for the first time. */
struct UnreadFieldSeen {
    std::string backendServer;
    std::string field;
    std::string value; // its beginning
};

/** A probe that was sent has ended. */
struct ProbeEnded {
    ProbeNumber probe = 0;
    ProbeEnd end;
};

/** What a new connection to a backend server showed. */
enum class ServerCheck {
    NobodyListens, // the address refused it: the process has ended
    CameUp,
    NoAnswer // the machine may be dark, or the way to it cut
};

/** A look at a backend server has ended. */
struct ServerChecked {
    std::string backendServer;
    ServerCheck result = ServerCheck::NoAnswer;
};

/** A message of another instance arrived. */
struct PeerMessageArrived {
    peers::PeerMessage message;
};

/** The store answered a call, or gave no answer. */
struct StoreAnswered {
    StoreAnswer answer;
};

struct TranslatedItem;

/** A large item of the store was read, as a TranslateItem asked. */
struct ItemTranslated {
    std::shared_ptr<const TranslatedItem> item; // never null
};

/** The settings name other instances from which to begin. */
struct SeedsChanged {
    std::vector<NetworkAddress> seeds;
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

/** This instance is about to stop. */
struct StopAsked { };

/** The time of RequestFlow::nextDue() has come. */
struct RequestTimer { };

/** The time of Node::nextControlDue() has come. */
struct ControlTimer { };

using Event = std::variant<RequestArrived, RefusedEarly, CallerGone, AttemptEnded, ServerNoticed, UnreadFieldSeen,
    ProbeEnded, ServerChecked, PeerMessageArrived, StoreAnswered, ItemTranslated, SeedsChanged, ChangeAsked,
    InForceAsked, StopAsked, RequestTimer, ControlTimer>;

/** As it stands in log lines; of a peer's message, what it holds. */
std::string_view nameOf(const Event& event);

}
