#pragma once

#include "Base/Milliseconds.h"
#include "Metrics/Reasons.h"

namespace burlreach {

/** Retry delay for callers when the route is not known or there is no backend server. */
inline constexpr Milliseconds DefaultRetryAfter{ 1000 };

/**
 * The time after which a caller that was refused for this reason should retry. `random`, from 0 to 1, spreads the
 * retries of callers that were refused together.
 */
Milliseconds computeRetryAfter(RefusalReason reason, Milliseconds targetLatency, double random);

/** The same when no server may be sent anything for the time `left`, such as during a pause that all have asked for. */
Milliseconds computeRetryAfterForPause(Milliseconds left, double random);

}
