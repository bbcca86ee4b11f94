#pragma once

#include <cstddef>
#include <string_view>

namespace burlreach {

/** Why a request was not answered by a backend server. */
enum class RefusalReason {
    NoRoute, // no route matches the host and path
    BadRequest, // the request cannot be parsed
    KeyMissing, // the route requires a customer's key, and the request has none or an unreadable one
    KeyUnknown, // the key belongs to no customer
    QuotaExceeded, // the customer has used up its limit
    QuotaUnconfirmed, // the customer has a limit, and no instance that grants credit could be reached
    NotReady, // this instance has no configuration yet
    TooManySessions,
    BodyTooLarge,
    MemoryFull, // all that callers and servers make the instance hold takes too much memory
    QueueFull,
    WaitedTooLong, // no backend server had a free slot within the share of the target latency that may be spent waiting
    DeadlinePassedWaiting,
    DeadlinePassedSending,
    NoBackendServer, // there is none, or all are draining or leaving
    DataCentreEmptied, // the usable backend servers are all in emptied data centres
    CrashesBackendServers, // backend servers crashed while they ran this request
    BackendServersPaused, // all asked this instance to pause for longer than the request may wait
    BackendServersLimited, // all have rate limits, and no permit is available within the time that the request may wait
    BackendServersRefused, // the backend servers that were tried did not run it
    AnswerBroken, // the connection closed before the answer was complete, or the answer is invalid
    NoPath, // no backend server of the service can be reached, directly or through another instance
    Stopping, // this instance is stopping and may end before the request does
    Count
};

/** Why a further attempt was made. */
enum class RetryReason {
    NotSent,
    RefusedNotRun,
    OtherServer,
    ErrorAnswer,
    AnswerBroken,
    Hedge, // the first attempt is taking longer than usual
    Count
};

/** Why a hedge that was due was not sent. Counted once for each request and change of reason. */
enum class HedgeDenial {
    NoServer, // no untried backend server is below the share of slots that hedges may use
    Budget, // the retry budget is used up
    KeptForRetries, // what is left of the budget is kept for retries after failures
    TooLate, // no such server, and even an unloaded one could no longer answer within the target latency
    Count
};

/** What kept a request from being sent while it waited in the queue. */
enum class HoldReason {
    NoKnownRoom, // no backend server had a slot for it that was free by a recent report
    ExpectedLoad, // reports had lost weight, and the load expected instead left no room
    Slow, // the servers with room had reported that work takes too long
    NoRecentReport, // the servers with room had not reported within the time that the search requires
    BehindOthers, // requests ahead of it in the queue were waiting
    Count
};

/** Other events that are counted. */
enum class DecisionCount {
    RequestsArrived,
    FirstAttempts,
    Answered,
    AnswersBegun, // answers passed on to their callers while they came
    AnswersBrokenOff, // of these, the ones that were not whole at their end
    RefusedNotRun, // refused with outcome "not run"
    RefusedUnknown, // refused with outcome "unknown"
    RetriesDenied, // denied by the retry budget
    RetriesWithheld, // the request might crash another server, or may no longer be sent
    HedgesWon,
    Ejections,
    CallersGone,
    LateCallers, // requests unlikely to meet the target latency even on arrival
    ProbesSent,
    ProbesFailed,
    ProbesDenied, // denied by the probe budget
    PausesAsked, // pauses that backend servers asked for when they refused a request or a probe
    LimitsNamed, // rate limits of backend servers that began, learned from an answer or from another instance
    PermitsAsked, // requested from the granting instance, for requests to servers with a rate limit
    PermitsGranted, // granted by this instance
    PermitsUnanswered, // the instance asked did not answer or may not grant, or none is known
    ConfigurationsAdopted,
    ConfigurationsUnreadable,
    StoreAnswers,
    StoreFailures,
    StaleSpells, // times at which the store's revision had not been confirmed for too long, directly or by peers
    PeerMessagesRefused, // peer messages with another protocol version
    CreditsAsked, // requested from the granting instance, for requests at this instance
    CreditsGranted, // granted by this instance
    ServerEndsSeen, // crashes of servers during a request from this instance
    RequestsFoundCrashing, // classified as crashing: three server crashes each that no other request explains
    CrashesDisproved, // requests during which servers had crashed, and which were then answered at this instance
    HedgesWithoutServer, // hedges not sent, by HedgeDenial; the next three likewise
    HedgesDenied,
    HedgesLeftToRetries,
    HedgesTooLate,
    // Requests sent by the choice at the end of their wait, by what had kept them from being sent before:
    LastChoicesExpectedLoad,
    LastChoicesSlow,
    LastChoicesNoRecentReport,
    LastChoicesBehindOthers,
    PathsLost, // backend servers that other instances reach and this one does not
    AttemptsRelayed, // attempts sent through another instance
    RelaysEnded, // attempts broken by the end of the instance that relayed them
    RelaysOpened, // connections relayed for other instances
    RelaysRefused, // relays that other instances asked for and this one could not give
    PullsSent, // missing changes of the store that this instance asked another one for
    PullsAnswered, // the same, asked for by other instances
    ChangesPacked, // lists of changes that were collected and compressed for other instances
    CreditShareChecks, // searches of the known instances for lost holders of credit shares and for new ones
    Count
};

/** Returns the name used in metrics and answers, such as "queue_full". */
std::string_view nameOf(RefusalReason reason);
std::string_view nameOf(RetryReason reason);
std::string_view nameOf(HedgeDenial denial);
std::string_view nameOf(HoldReason reason);
std::string_view nameOf(DecisionCount count);
/** The counter of requests that this had held back, and that were sent at the end of their wait. */
DecisionCount lastChoiceCountOf(HoldReason reason);

/** The counter of hedges that were not sent for this reason. */
DecisionCount countOf(HedgeDenial denial);

}
