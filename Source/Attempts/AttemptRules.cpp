#include "Attempts/AttemptRules.h"

namespace burlreach {

namespace {

/** Attempts that provably did not run do not count towards the route's maximum of attempts, so they have their own. */
constexpr unsigned MostProvedNotRun = 5;
/** Most instances that decline to relay answer within milliseconds; the deadline bounds the others. */
constexpr unsigned MostRelayFailures = 8;

}

bool mayTryAgain(const Route& route, const AttemptHistory& history, AttemptResult result)
{
    if (history.provedNotRun >= MostProvedNotRun || history.relayFailures >= MostRelayFailures
        || result == AttemptResult::Cancelled)
        return false;
    if (route.repeat == Repeat::RunOnce)
        return isProvedNotRun(result) && !history.mayHaveRun;
    return result != AttemptResult::TimedOut && history.mayHaveRun < route.mostAttempts;
}

RetryReason retryReasonOf(AttemptResult result)
{
    switch (result) {
    case AttemptResult::NotSent:
        return RetryReason::NotSent;
    case AttemptResult::RefusedNotRun:
        return RetryReason::RefusedNotRun;
    case AttemptResult::OtherServer:
        return RetryReason::OtherServer;
    case AttemptResult::ErrorAnswer:
        return RetryReason::ErrorAnswer;
    default:
        return RetryReason::AnswerBroken;
    }
}

bool mayHedge(const Route& route, const AttemptHistory& history)
{
    return route.repeat == Repeat::MayRepeat && history.mayHaveRun < route.mostAttempts
        && history.provedNotRun < MostProvedNotRun;
}

}
