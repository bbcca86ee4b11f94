#pragma once

#include "Base/Milliseconds.h"

namespace burlreach {

/**
 * Tells how long callers of a route have been trying already: those that come
 * back after a refusal bring less time than the first tries do. Nothing is
 * configured; the usual time of a first try is the longest seen, which fades
 * so that single patient callers do not count for long.
 */
class CallerPatience {
public:
    /** A request brought so much time; gives how much its caller has spent before. */
    Milliseconds spentBefore(Milliseconds timeLeft);

private:
    Milliseconds longest;
};

/** True when a caller that has spent so much can hardly have its answer within the target any more. */
bool isLateCaller(Milliseconds spent, Milliseconds expected, Milliseconds target);

}
