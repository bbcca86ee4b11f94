#include "Routing/LoadAwarePolicy.h"

#include <algorithm>
#include <cmath>

namespace burlreach {

namespace {

/** Reports older than this say little about the load of others. */
constexpr Milliseconds ReportDecay{ 60 };
/** One way between data centres, there and back. */
constexpr Milliseconds OtherDataCentre{ 3 };
constexpr Milliseconds UnknownResponse{ 1 };
/** In larger pools only this many random candidates are compared. */
constexpr std::size_t ComparedCandidates = 8;
/** A random share of the score, so that instances do not all choose alike. */
constexpr double Jitter = 0.1;

/** What is known of the pool as a whole. */
struct Pool {
    double meanOthers = 0;
    Milliseconds meanResponse = UnknownResponse;
};

Pool describe(std::span<BackendServerState* const> candidates)
{
    Pool pool;
    double responses = 0;
    std::size_t known = 0;
    for (const BackendServerState* candidate : candidates) {
        pool.meanOthers += candidate->reportedOthers() / static_cast<double>(candidates.size());
        if (!candidate->response().known())
            continue;
        responses += candidate->response().unloaded().count;
        ++known;
    }
    if (known)
        pool.meanResponse = { responses / static_cast<double>(known) };
    return pool;
}

double expectedInFlight(const BackendServerState& server, const Pool& pool, Milliseconds now)
{
    const Milliseconds age = now - server.report().at;
    const double trust = std::exp(-std::max(age.count, 0.0) / ReportDecay.count);
    const double others = pool.meanOthers + (server.reportedOthers() - pool.meanOthers) * trust;
    return static_cast<double>(server.inFlight()) + std::max(0.0, others);
}

/** Own requests that hang tell of a slow-down before any answer does. */
Milliseconds serviceTime(const BackendServerState& server, const Pool& pool, Milliseconds now)
{
    const Milliseconds known = server.response().known() ? server.response().value() : pool.meanResponse;
    return std::max(known, server.oldestAge(now));
}

double score(const BackendServerState& server, const Pool& pool, const RoutingContext& context)
{
    const double slots = static_cast<double>(server.slots());
    const double crowd = std::max(1.0, (expectedInFlight(server, pool, context.now) + 1) / slots);
    const Milliseconds distance = server.dataCentre() == context.dataCentre ? Milliseconds{} : OtherDataCentre;
    const Milliseconds distanceKept = server.response().known() ? Milliseconds{} : distance;
    return serviceTime(server, pool, context.now).count * crowd * crowd + distanceKept.count;
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
