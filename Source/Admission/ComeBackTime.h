#pragma once

#include "Base/Milliseconds.h"
#include "Metrics/Reasons.h"

namespace burlreach {

/** Told to callers when nothing is known of a route or no backend server is there. */
inline constexpr Milliseconds UsualComeBack{ 1000 };

/**
 * When a caller refused for this reason should come back. The random part, 0
 * to 1, spreads those that were refused together.
 */
Milliseconds comeBackAfter(RefusalReason reason, Milliseconds targetLatency, double random);

/** The same while all servers have asked for a pause that lasts so much longer. */
Milliseconds comeBackAfterPause(Milliseconds left, double random);

}
