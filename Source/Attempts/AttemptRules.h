#pragma once

#include "Configuration/RoutingConfiguration.h"
#include "Metrics/Reasons.h"
#include "Routing/AttemptResult.h"

namespace burlreach {

/** What has happened to a request so far. */
struct AttemptHistory {
    unsigned mayHaveRun = 0; // backend servers that may have run it, those under way included
    unsigned provedNotRun = 0; // attempts that were proved not to have run
};

/** True when a request may be sent once more after this end, apart from any budget. */
bool mayTryAgain(const Route& route, const AttemptHistory& history, AttemptResult result);

/** As what one more attempt after this end is counted. */
RetryReason retryReasonOf(AttemptResult result);

/** True when a second attempt may begin while the first is under way. */
bool mayHedge(const Route& route, const AttemptHistory& history);

/** An attempt that never reached a backend server is no load on it and needs no budget. */
constexpr bool needsBudget(AttemptResult result)
{
    return result != AttemptResult::NotSent;
}

}
