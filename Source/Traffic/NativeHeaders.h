#pragma once

namespace burlreach {

// Header fields of burlreach's own dialect (docs/OPERATIONS.md).

/** Identifies the request to the backend server and in log lines. */
inline constexpr const char* RequestIdHeader = "Burlreach-Request-Id";
/** The time until the caller's deadline, in milliseconds. */
inline constexpr const char* DeadlineHeader = "Burlreach-Deadline-Milliseconds";
/** The backend server that the request is addressed to; any other server refuses it with status 421. */
inline constexpr const char* BackendServerHeader = "Burlreach-Backend-Server";
/** Names the customer to a backend server, in place of the caller's key. */
inline constexpr const char* CustomerHeader = "Burlreach-Customer";
/** Tells a caller whether its request was run: "answered", "not-run" or "unknown". */
inline constexpr const char* OutcomeHeader = "Burlreach-Outcome";
/** Tells a caller why its request was refused. */
inline constexpr const char* ReasonHeader = "Burlreach-Reason";
/** Set by a backend server that did not run the request. */
inline constexpr const char* NotRunHeader = "Burlreach-Not-Run";
/** A backend server's load: requests running, requests waiting, slots, and how long work takes in percent. */
inline constexpr const char* LoadHeader = "Burlreach-Load";
/** Set by a backend server that is about to stop and accepts no new requests. */
inline constexpr const char* LeavingHeader = "Burlreach-Leaving";
/** The requests per second that a backend server accepts from all instances together. */
inline constexpr const char* LimitHeader = "Burlreach-Limit";

}
