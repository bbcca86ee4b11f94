#include "Routing/LoadAwarePolicy.h"

#include <algorithm>
#include <cmath>

namespace burlreach {

namespace {

/** Reports older than this say little about the load of others. */
constexpr Milliseconds ReportDecay{ 100 };
constexpr Milliseconds UnknownServiceTime{ 1 };
/** In larger pools only this many random candidates are compared. */
constexpr std::size_t ComparedCandidates = 12;
/** A random share of the score, so that instances do not all choose alike. */
constexpr double Jitter = 0.1;
/** Service times differ by the mix of requests; only more than this is a slow server. */
constexpr double UsualDeviation = 2.5;
/** A request in flight for more than this many mean service times tells of a slow-down. */
constexpr double UsualAge = 8;
/** Another data centre counts as this share of a request in flight. */
constexpr double DistanceShare = 0.3;

/** What is known of the pool as a whole. */
struct Pool {
    double meanOthers = 0;
    Milliseconds meanServiceTime = UnknownServiceTime;
};

Pool describe(std::span<BackendServerState* const> candidates)
{
    Pool pool;
    double serviceTimes = 0;
    std::size_t known = 0;
    for (const BackendServerState* candidate : candidates) {
        pool.meanOthers += candidate->reportedOthers() / static_cast<double>(candidates.size());
        if (!candidate->serviceTime().known())
            continue;
        serviceTimes += candidate->serviceTime().value().count;
        ++known;
    }
    if (known)
        pool.meanServiceTime = { serviceTimes / static_cast<double>(known) };
    return pool;
}

double expectedInFlight(const BackendServerState& server, const Pool& pool, Milliseconds now)
{
    const Milliseconds age = now - server.report().at;
    const double trust = server.reportIsTrusted(now) ? std::exp(-std::max(age.count, 0.0) / ReportDecay.count) : 0;
    const double others = pool.meanOthers + (server.reportedOthers() - pool.meanOthers) * trust;
    return static_cast<double>(server.inFlight()) + others;
}

/** How many times slower than the pool the server is; 1 within what is usual. */
double slowness(const BackendServerState& server, const Pool& pool, Milliseconds now)
{
    const double known = server.serviceTime().value(pool.meanServiceTime, now) / pool.meanServiceTime / UsualDeviation;
    // Own requests that hang tell of a slow-down before any answer does.
    const double hanging = server.oldestAge(now) / pool.meanServiceTime / UsualAge;
    return std::max({ 1.0, known, hanging });
}

double score(const BackendServerState& server, const Pool& pool, const RoutingContext& context)
{
    const double slots = static_cast<double>(server.slots());
    const double distance = server.dataCentre() == context.dataCentre ? 0 : DistanceShare;
    const double crowd = (expectedInFlight(server, pool, context.now) + 1 + distance) / slots;
    return crowd * slowness(server, pool, context.now);
}

}

BackendServerState* LoadAwarePolicy::choose(
    std::span<BackendServerState* const> candidates, const RoutingContext& context, Random& random)
{
    const Pool pool = describe(candidates);
    const bool comparesAll = candidates.size() <= ComparedCandidates;
    const std::size_t compared = std::min(candidates.size(), ComparedCandidates);
    BackendServerState* best = nullptr;
    double bestScore = 0;
    for (std::size_t index = 0; index < compared; ++index) {
        BackendServerState* candidate = candidates[comparesAll ? index : random.below(candidates.size())];
        const double candidateScore = score(*candidate, pool, context) * (1 + Jitter * random.unit());
        if (best && candidateScore >= bestScore)
            continue;
        best = candidate;
        bestScore = candidateScore;
    }
    return best;
}

}
