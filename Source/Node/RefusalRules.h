#pragma once

#include "Node/RequestState.h"
#include "Routing/AttemptResult.h"

#include <optional>

namespace burlreach {

/**
 * The reason to refuse a request that found no server at once instead of
 * queueing it, because no server can become available while it may wait.
 * Empty when waiting may help.
 */
std::optional<RefusalReason> immediateRefusal(const RequestState& request, NoServerReason choice, Milliseconds now);

/** The reason to refuse a request whose waiting time in the queue is over. */
RefusalReason refusalAfterWaiting(const RequestState& request);

/** The reason to refuse a request whose last attempt had this result. */
RefusalReason refusalAfterAttempt(AttemptResult result);

/**
 * Whether a server's error answer may be passed to the caller. False for a run-once request when the status code would
 * state, without proof, that the request did not run.
 */
bool mayPassErrorAnswer(const Route& route, const AttemptEnd& end);

/**
 * The retry-after time for a refused request. It is not before the end of a
 * pause that all servers asked for, or before the next send permit. The random
 * value is from 0 to 1 and spreads the callers' retries.
 */
Milliseconds retryAfterFor(const RequestState& request, RefusalReason reason, double random, Milliseconds now);

}
