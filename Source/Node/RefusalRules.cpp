#include "Node/RefusalRules.h"

#include "Admission/RetryAfterDelay.h"

#include <algorithm>

namespace burlreach {

std::optional<RefusalReason> immediateRefusal(const RequestState& request, NoServerReason choice, Milliseconds now)
{
    const ServicePool& pool = request.service->pool;
    if (pool.isEmptied())
        return RefusalReason::DataCentreEmptied;
    if (choice == NoServerReason::AllLeaving)
        return RefusalReason::NoBackendServer;
    if (choice == NoServerReason::Paused && pool.pauseEnd(now) >= request.waitUntil)
        return RefusalReason::BackendServersPaused;
    if (choice == NoServerReason::Limited && pool.nextPermit(now) >= request.waitUntil)
        return RefusalReason::BackendServersLimited;
    return std::nullopt;
}

RefusalReason refusalAfterWaiting(const RequestState& request)
{
    const auto servers = request.service->pool.servers();
    const bool anyTakes
        = std::any_of(servers.begin(), servers.end(), [](const auto& server) { return server->takesNewRequests(); });
    return anyTakes ? RefusalReason::WaitedTooLong : RefusalReason::NoBackendServer;
}

RefusalReason refusalAfterAttempt(AttemptResult result)
{
    switch (result) {
    case AttemptResult::NotSent:
    case AttemptResult::RefusedNotRun:
    case AttemptResult::OtherServer:
        return RefusalReason::BackendServersRefused;
    case AttemptResult::TimedOut:
        return RefusalReason::DeadlinePassedSending;
    default:
        return RefusalReason::AnswerBroken;
    }
}

bool mayPassErrorAnswer(const Route& route, const AttemptEnd& end)
{
    return !end.claimsNotRun || route.repeat == Repeat::MayRepeat;
}

Milliseconds retryAfterFor(const RequestState& request, RefusalReason reason, double random, Milliseconds now)
{
    const Milliseconds usual = computeRetryAfter(reason, request.route->targetLatency, random);
    if (!request.service)
        return usual;
    const ServicePool& pool = request.service->pool;
    const Milliseconds left = std::max(pool.pauseEnd(now), pool.nextPermit(now)) - now;
    return left.count > 0 ? std::max(usual, computeRetryAfterForPause(left, random)) : usual;
}

}
