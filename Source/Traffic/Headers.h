#pragma once

#include <string_view>

namespace burlreach {

// Headers between callers, balancers and backend servers (docs/OPERATIONS.md).

/** Names the request; a run-once request with the same id runs at most once. */
inline constexpr const char* RequestIdHeader = "Burlreach-Request-Id";
/** 1 at first; a caller raises it by one only after an answer "not-run" for the id. */
inline constexpr const char* AttemptHeader = "Burlreach-Attempt";
/** Milliseconds until the caller no longer needs the answer. */
inline constexpr const char* DeadlineHeader = "Burlreach-Deadline-Milliseconds";
/** "first" or "can-wait". */
inline constexpr const char* PriorityHeader = "Burlreach-Priority";
/** "answered", "not-run" or "unknown". */
inline constexpr const char* OutcomeHeader = "Burlreach-Outcome";
/** Why a request was refused. */
inline constexpr const char* ReasonHeader = "Burlreach-Reason";
/** Set when an instance on the way already retries. */
inline constexpr const char* RetryHeader = "Burlreach-Retry";
/** When to come back, more exactly than Retry-After. */
inline constexpr const char* ComeBackHeader = "Burlreach-Retry-After-Milliseconds";
/** A backend server's word that it did not run the request. */
inline constexpr const char* NotRunHeader = "Burlreach-Not-Run";
/** A backend server's requests in flight. */
inline constexpr const char* LoadHeader = "Burlreach-Load";
/** A backend server's word that it is leaving. */
inline constexpr const char* LeavingHeader = "Burlreach-Leaving";

/** Where backend servers answer probes. */
inline constexpr const char* ProbePath = "/burlreach/load";

}
