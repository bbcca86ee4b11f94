#include "Measurement/ServerSearch.h"

#include "Routing/LoadAwarePolicy.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace burlreach {

namespace {

/** When work at a server takes at most this many times as long as usual, no further answers are awaited. */
constexpr double GoodWorkFactor = 1.25;
/** The same for the share of slots in use after one more request: one of two, two of three, four of six. */
constexpr double GoodSlotUse = 0.67;
/** Requests are never held back when work takes less than this many times as long: the usual time is a mean. */
constexpr double UsualWorkFactor = 1.5;

}

ServerSearch::ServerSearch(Options givenOptions, Dependencies givenParts)
    : options(std::move(givenOptions))
    , dependencies(givenParts)
{
}

ServerSearchState ServerSearch::begin(const SearchInput& input, Milliseconds now) const
{
    ServerSearchState search;
    search.arrivedAt = now;
    search.inTimeUntil = now + input.target - input.spent;
    search.usualTime = input.usualTime;
    // Applies to late callers as well: at a slow server their requests would occupy a slot for several times as long.
    search.holdUntil = now + input.target * this->options.holdShare;
    return search;
}

bool ServerSearch::startRound(ServerSearchState& search, const ServiceDescription& service, const ServicePool& pool,
    const RoutingContext& context, std::vector<Probe>& probes) const
{
    if (search.rounds >= this->options.mostRounds)
        return false;
    unsigned known = 0;
    for (const auto& server :
        pool.probeCandidates(this->options.candidatesPerRound, context, *this->dependencies.random)) {
        if (known == this->options.serversPerRound)
            break;
        const Milliseconds age = context.now - server->report().at;
        const bool isFresh = age <= this->options.reportFreshFor;
        if (isFresh || this->probeServer(server, search, service, context.now, probes)
            || age <= this->options.reportUsableFor)
            ++known;
    }
    if (search.awaitedServers.empty())
        return false;
    ++search.rounds;
    search.roundEndsAt = context.now + this->options.maxRoundTime;
    return true;
}

bool ServerSearch::mayStartRound(const ServerSearchState& search, Milliseconds now) const
{
    return search.rounds < this->options.mostRounds && now < search.holdUntil;
}

bool ServerSearch::probeServer(const std::shared_ptr<BackendServerState>& server, ServerSearchState& search,
    const ServiceDescription& service, Milliseconds now, std::vector<Probe>& probes) const
{
    auto probe = this->dependencies.probes->start(server, service.probePath, service.probeShare, now);
    if (probe) {
        this->dependencies.counters->add(DecisionCount::ProbesSent);
        probes.push_back(std::move(*probe));
    } else if (!this->dependencies.probes->isInFlight(server->id())) {
        this->dependencies.counters->add(DecisionCount::ProbesDenied);
        return false;
    }
    search.awaitedServers.push_back(server->id());
    return true;
}

bool ServerSearch::isProbingDone(ServerSearchState& search, const BackendServerState& server, Milliseconds now) const
{
    if (!std::erase(search.awaitedServers, server.id()))
        return false;
    return search.awaitedServers.empty() || this->isGoodEnough(server, search, now);
}

bool ServerSearch::isGoodEnough(
    const BackendServerState& server, const ServerSearchState& search, Milliseconds now) const
{
    const ExpectedLoad load = expectedLoadOf(server, poolLoadOf({}), now);
    const bool isNear = server.record().dataCentre == this->options.dataCentre;
    const bool isTaker = server.takesNewRequests() && !server.isEjected(now) && !server.isOnTrial();
    return isNear && isTaker && !server.isCold(now) && load.workFactor <= GoodWorkFactor
        && (load.requests + 1) <= GoodSlotUse * server.slots() && server.failureShare(now) == 0
        && server.report().at >= search.arrivedAt;
}

double ServerSearch::maxWorkFactor(const ServerSearchState& search, Milliseconds now) const
{
    if (now >= search.holdUntil)
        return std::numeric_limits<double>::infinity();
    return maxWorkFactorInTime(search, now);
}

double ServerSearch::maxWorkFactorInTime(const ServerSearchState& search, Milliseconds now)
{
    const double inTime = (search.inTimeUntil - now) / std::max(search.usualTime, Milliseconds{ 1 });
    return std::max(inTime, UsualWorkFactor);
}

}
