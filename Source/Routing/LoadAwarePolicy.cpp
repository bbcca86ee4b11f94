#include "Routing/LoadAwarePolicy.h"

#include <algorithm>
#include <cmath>

namespace burlreach {

namespace {

/** Reports older than this say little about the load of the moment. */
constexpr Milliseconds ReportDecay{ 100 };
constexpr double UsualPercent = 100;
/**
 * What is assumed of servers that were not heard, as if this many had told that
 * work takes this many times as long: the mean where a quarter of them is five
 * times slower by its neighbours. Else the few that were asked first would say
 * for all others that they are well, and of many unknown ones one always looks
 * a little better than the few that are known. Of the requests of an instance's
 * first second 0.54 went to servers that it had never heard, 0.27 of the next
 * one's; there a tenth took 1,172 ms and more, at servers with fresh figures
 * 474 ms (473 instances, logs of the first seconds of a calm day).
 */
constexpr double AssumedServers = 2;
constexpr double AssumedWorkFactor = 2;
/** A random share of the score, so that instances do not all choose alike. */
constexpr double Jitter = 0.08;
/** Service times differ by the mix of requests; only more than this is a slow server. */
constexpr double UsualSlowness = 1.6;
/** A request in flight for more than this many expected times tells of a slow-down. */
constexpr double UsualAge = 4;
/** Another data centre counts as this share of a usual request. */
constexpr double DistanceShare = 0.5;
/** A server that has just started, and one that fails a request now and then. */
constexpr double ColdFactor = 1.7;
constexpr double FailureWeight = 4;
/** Nearly full servers work more slowly. */
constexpr double NearlyFull = 0.8;
constexpr double NearlyFullFactor = 1.3;

double crowdFactor(double requests, double slots)
{
    const double used = (requests + 1) / slots;
    if (used <= NearlyFull)
        return 1 + (NearlyFullFactor - 1) * used / 2;
    return std::max(NearlyFullFactor, NearlyFullFactor + (requests + 1 - slots) / slots);
}

}

PoolLoad poolLoadOf(std::span<BackendServerState* const> servers)
{
    PoolLoad pool;
    double others = 0;
    double factors = 0;
    double known = 0;
    for (const BackendServerState* server : servers) {
        if (server->report().at == LongAgo)
            continue;
        others += server->report().others;
        factors += server->report().figures.workPercent / UsualPercent;
        known += 1;
    }
    if (known > 0)
        pool.others = others / known;
    const double assumed = (factors + AssumedServers * AssumedWorkFactor) / (known + AssumedServers);
    pool.workFactor = std::max(1.0, assumed);
    return pool;
}

ExpectedLoad expectedLoadOf(const BackendServerState& server, const PoolLoad& pool, Milliseconds now)
{
    const LoadReport& report = server.report();
    const double trust
        = !server.reportIsTrusted(now) ? 0 : std::exp(-std::max(0.0, (now - report.at).count) / ReportDecay.count);
    const double told = std::max<std::uint32_t>(report.figures.workPercent, 1) / UsualPercent;
    ExpectedLoad load;
    load.requests = static_cast<double>(server.inFlight()) + pool.others + (report.others - pool.others) * trust;
    load.workFactor = pool.workFactor + (told - pool.workFactor) * trust;
    return load;
}

double LoadAwarePolicy::score(const BackendServerState& server, const PoolLoad& pool, const RoutingContext& context)
{
    const ExpectedLoad load = expectedLoadOf(server, pool, context.now);
    const double slow = std::max(1.0, server.slowness(context.now) / UsualSlowness);
    // Own requests that hang tell of a slow-down before any answer does.
    const double hanging
        = context.expected.count > 0 ? std::max(1.0, server.oldestAge(context.now) / context.expected / UsualAge) : 1;
    const double cold = server.isCold(context.now) ? ColdFactor : 1;
    const double failures = 1 + FailureWeight * server.failureShare(context.now);
    const double distance = server.record().dataCentre == context.dataCentre ? 0 : DistanceShare;
    const double crowd = crowdFactor(load.requests, server.slots());
    return crowd * load.workFactor * std::max(slow, hanging) * cold * failures + distance;
}

BackendServerState* LoadAwarePolicy::choose(
    std::span<BackendServerState* const> candidates, const RoutingContext& context, Random& random)
{
    const PoolLoad pool = poolLoadOf(candidates);
    BackendServerState* best = nullptr;
    double bestScore = 0;
    // All of them, however many: the few with fresh figures must be among them.
    for (BackendServerState* candidate : candidates) {
        const double candidateScore = score(*candidate, pool, context) * (1 + Jitter * random.unit());
        if (best && candidateScore >= bestScore)
            continue;
        best = candidate;
        bestScore = candidateScore;
    }
    return best;
}

}
