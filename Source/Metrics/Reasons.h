#pragma once

#include <cstddef>
#include <string_view>

namespace burlreach {

/** Why a request got no answer from a backend server. */
enum class RefusalReason {
    NoService, // no service has this Host value
    BadRequest, // a header of ours cannot be read
    NotReady, // no configuration is known yet
    TooManySessions,
    BodyTooLarge,
    QueueFull,
    CannotMeetDeadline, // it would wait too long
    DeadlinePassedWaiting,
    DeadlinePassedSending,
    NoBackendServer, // none is there, or all are draining or leaving
    BackendServersRefused, // all that were tried did not run it
    AnswerBroken, // the connection ended before the whole answer
    RequestIdTaken, // claimed before: it may have run
    RequestIdClosed, // refused before: it did not run
    RecordsLost, // earlier claims of the id are unknown
    RecordsFull,
    OwnersUnreachable, // nobody could grant the claim
    GrantTooOld, // this instance stood still after the grant
    Count
};

/** Why one more attempt was made. */
enum class RetryReason {
    NotSent,
    RefusedNotRun,
    ErrorAnswer,
    AnswerBroken,
    Hedge, // the first attempt takes longer than usual
    Count
};

/** What else the decisions count. */
enum class DecisionCount {
    RequestsArrived,
    FirstAttempts,
    Answered,
    RefusedNotRun, // outcome "not run"
    RefusedUnknown, // outcome "unknown"
    RetriesDenied, // by the retry budget
    Ejections,
    CallersGone,
    ProbesSent,
    ProbesFailed,
    ClaimsGranted,
    ClaimsRefused,
    ConfigurationsAdopted,
    OwnershipsAdopted,
    PeerMessagesRefused, // from incarnations that are gone or of another version
    Count
};

/** Names as they stand in metrics and answers, such as "queue_full". */
std::string_view nameOf(RefusalReason reason);
std::string_view nameOf(RetryReason reason);
std::string_view nameOf(DecisionCount count);

}
