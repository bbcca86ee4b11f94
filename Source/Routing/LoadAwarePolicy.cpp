#include "Routing/LoadAwarePolicy.h"

#include <algorithm>
#include <cmath>

namespace burlreach {

namespace {

/** Time constant with which a report loses weight against the mean of the pool. */
constexpr Milliseconds ReportDecay{ 100 };
constexpr double UsualPercent = 100;
/**
 * Prior for servers without a report: the pool's mean is formed as if this many further servers had reported that
 * work takes this many times as long as usual. That is the mean where noisy neighbours slow down a quarter of the
 * servers five times. Without the prior, good reports from the first few servers would be assumed for all others, and
 * among many unknown servers one always scores a little better than the few known ones. Then 0.54 of the requests in
 * the first second of an instance, and 0.27 in the next, went to servers without any report; the slowest tenth took at
 * least 1,172 ms there, but 474 ms at servers with fresh reports (473 instances, first seconds of a calm day).
 */
constexpr double AssumedServers = 2;
constexpr double AssumedWorkFactor = 2;
/** Scores are raised at random by up to this share, so that instances do not all choose the same server. */
constexpr double Jitter = 0.08;
/** Service times vary with the mix of requests; a server is slow only above this factor. */
constexpr double UsualSlowness = 1.6;
/** A request in flight for more than this many expected times indicates a slowdown. */
constexpr double UsualAge = 4;
/** Added to the score of a server in another data centre, in times of a usual request. */
constexpr double DistanceShare = 0.5;
/** A cold server is slower by this factor. */
constexpr double ColdFactor = 1.7;
/** Weight of the share of failed requests. */
constexpr double FailureWeight = 4;
/** Servers with more than this share of their slots in use are slower. */
constexpr double NearlyFull = 0.8;
constexpr double NearlyFullFactor = 1.3;

double loadFactor(double requests, double slots)
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
        others += server->report().requestsFromOthers;
        factors += server->report().load.workPercent / UsualPercent;
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
    const TimedLoadReport& report = server.report();
    const double trust
        = !server.isReportTrusted(now) ? 0 : std::exp(-std::max(0.0, (now - report.at).count) / ReportDecay.count);
    const double reportedFactor = std::max<std::uint32_t>(report.load.workPercent, 1) / UsualPercent;
    ExpectedLoad load;
    load.requests
        = static_cast<double>(server.inFlight()) + pool.others + (report.requestsFromOthers - pool.others) * trust;
    load.workFactor = pool.workFactor + (reportedFactor - pool.workFactor) * trust;
    return load;
}

double LoadAwarePolicy::score(const BackendServerState& server, const PoolLoad& pool, const RoutingContext& context)
{
    const ExpectedLoad load = expectedLoadOf(server, pool, context.now);
    const double slowness = std::max(1.0, server.slowness(context.now) / UsualSlowness);
    // Requests that have been in flight for long indicate a slowdown before any answer does.
    const double overdue
        = context.expected.count > 0 ? std::max(1.0, server.oldestAge(context.now) / context.expected / UsualAge) : 1;
    const double cold = server.isCold(context.now) ? ColdFactor : 1;
    const double failures = 1 + FailureWeight * server.failureShare(context.now);
    const double distance = server.record().dataCentre == context.dataCentre ? 0 : DistanceShare;
    const double loadTerm = loadFactor(load.requests, server.slots());
    return loadTerm * load.workFactor * std::max(slowness, overdue) * cold * failures + distance;
}

BackendServerState* LoadAwarePolicy::choose(
    std::span<BackendServerState* const> candidates, const RoutingContext& context, Random& random)
{
    const PoolLoad pool = poolLoadOf(candidates);
    BackendServerState* best = nullptr;
    double bestScore = 0;
    // Scores all candidates instead of a sample, which could miss the few with fresh reports.
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
