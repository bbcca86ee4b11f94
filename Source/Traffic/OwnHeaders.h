#pragma once

namespace burlreach {

// Header fields of burlreach's own form (docs/OPERATIONS.md).

/** Names the request to the backend server and in log lines. */
inline constexpr const char* RequestIdHeader = "Burlreach-Request-Id";
/** Milliseconds until the caller no longer needs the answer. */
inline constexpr const char* DeadlineHeader = "Burlreach-Deadline-Milliseconds";
/** The backend server that is meant; any other one refuses with 421. */
inline constexpr const char* BackendServerHeader = "Burlreach-Backend-Server";
/** Tells a backend server whose request it is, in place of the caller's key. */
inline constexpr const char* CustomerHeader = "Burlreach-Customer";
/** "answered", "not-run" or "unknown". */
inline constexpr const char* OutcomeHeader = "Burlreach-Outcome";
/** Why a request was refused. */
inline constexpr const char* ReasonHeader = "Burlreach-Reason";
/** A backend server's word that it did not run the request. */
inline constexpr const char* NotRunHeader = "Burlreach-Not-Run";
/** A backend server's load: requests running, waiting, slots, and how long work takes in percent. */
inline constexpr const char* LoadHeader = "Burlreach-Load";
/** A backend server's word that it is leaving. */
inline constexpr const char* LeavingHeader = "Burlreach-Leaving";
/** The requests a second that a backend server takes from all instances together. */
inline constexpr const char* LimitHeader = "Burlreach-Limit";

}
