#pragma once

#include "Configuration/RoutingConfiguration.h"
#include "Metrics/Reasons.h"
#include "Routing/AttemptResult.h"

namespace burlreach {

/** The attempts of a request so far. */
struct AttemptHistory {
    unsigned mayHaveRun = 0; // attempts that may have run at a backend server, those in flight included
    unsigned provedNotRun = 0; // attempts that provably did not run, apart from those that follow
    unsigned relayFailures = 0; // attempts that reached no backend server because an instance did not relay them
};

/** True when a request may be retried after this result, apart from the retry budget. */
bool mayTryAgain(const Route& route, const AttemptHistory& history, AttemptResult result);

/** The reason under which a retry after this result is counted. */
RetryReason retryReasonOf(AttemptResult result);

/** True when a second attempt may start while the first one is in flight. */
bool mayHedge(const Route& route, const AttemptHistory& history);

/** False after an attempt that did not reach a backend server: it was no load on the server, so its retry is free. */
constexpr bool needsBudget(AttemptResult result)
{
    return result != AttemptResult::NotSent;
}

}
