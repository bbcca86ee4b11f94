#include "Node/ServerChooser.h"

#include "Routing/LoadAwarePolicy.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace burlreach {

namespace {

/**
 * Late requests are sent only to servers that use less than this fraction of
 * their concurrency limit. Under overload this gives priority to requests that
 * can still meet their target, on all instances without coordination. Fraction
 * of requests answered within their target, with and without this rule: 0.56
 * and 0.42 during a load spike, 0.35 and 0.20 at 1.5 times the servers'
 * capacity.
 */
constexpr double LateLimitShare = 0.6;
/**
 * A hedge is sent only to a server that uses less than this fraction of its
 * concurrency limit; on busy servers it would displace first attempts. Fraction
 * of requests answered within their target, with and without this rule: 0.59
 * and 0.56 during a load spike, 0.70 and 0.69 with four of ten servers down.
 */
constexpr double HedgeLimitShare = 0.6;

}

ServerChooser::ServerChooser(Options givenOptions, Dependencies givenParts)
    : options(std::move(givenOptions))
    , dependencies(givenParts)
    , search(this->options.search,
          { .probes = givenParts.probes, .random = givenParts.random, .counters = givenParts.counters })
{
}

RoutingContext ServerChooser::contextOf(const RequestState& request, Milliseconds now) const
{
    return { .now = now,
        .dataCentre = this->options.dataCentre,
        .expected = request.service->expectedTime(*request.route),
        // The new version of a roll-out gets first attempts only.
        .wantsTarget = request.wantsTarget && request.tried.empty() };
}

SelectionCriteria ServerChooser::criteriaOf(const RequestState& request, Milliseconds now) const
{
    return { .tried = request.tried,
        .mayUseTrialServers = request.route->repeat == Repeat::MayRepeat,
        .maxWorkFactor = this->search.maxWorkFactor(request.search, now),
        .slotShare = request.isLate ? LateLimitShare : 1 };
}

bool ServerChooser::startSearch(RequestState& request, Milliseconds now, Actions& actions) const
{
    request.search = this->search.begin({ .target = request.route->targetLatency,
                                            .spent = request.spentBefore,
                                            .usualTime = request.service->unloadedTime(*request.route) },
        now);
    return this->options.probes && this->probeServers(request, now, actions);
}

bool ServerChooser::isEnough(RequestState& request, const BackendServerState& server, Milliseconds now) const
{
    return this->search.isProbingDone(request.search, server, now);
}

bool ServerChooser::probeServers(RequestState& request, Milliseconds now, Actions& actions) const
{
    std::vector<Probe> probes;
    const ServiceState& service = *request.service;
    const bool isAsking = this->search.startRound(
        request.search, service.description, service.pool, this->contextOf(request, now), probes);
    for (Probe& probe : probes) {
        const auto server = service.pool.find(probe.backendServer);
        const auto relay = server ? this->dependencies.paths->relayFor(*server, now) : std::nullopt;
        actions.emplace_back(SendProbe{ .probe = std::move(probe), .relay = relay });
    }
    return isAsking;
}

ServerChoice ServerChooser::chooseOrProbe(RequestState& request, Milliseconds now, Actions& actions) const
{
    const RoutingContext context = this->contextOf(request, now);
    ServicePool& pool = request.service->pool;
    SelectionCriteria wish = this->criteriaOf(request, now);
    wish.onlyWithRecentReport = this->options.probes && this->search.mayStartRound(request.search, now);
    ServerChoice choice = pool.choose(wish, context, *this->dependencies.random);
    const bool mayFindBetter = choice.reason == NoServerReason::Slow || choice.reason == NoServerReason::NoRecentReport;
    if (choice.server || !mayFindBetter || this->waitForBetterServer(request, now, actions)
        || !wish.onlyWithRecentReport)
        return choice;
    wish.onlyWithRecentReport = false;
    return pool.choose(wish, context, *this->dependencies.random);
}

bool ServerChooser::waitForBetterServer(RequestState& request, Milliseconds now, Actions& actions) const
{
    // When the hold ends the request is sent to any available server, so it must not be refused before that.
    request.waitUntil = std::max(request.waitUntil, request.search.holdUntil + QueueCheckInterval * 2);
    const bool isAsking = !request.search.awaitedServers.empty() && now < request.search.roundEndsAt;
    if (isAsking || !this->options.probes)
        return isAsking;
    request.search.awaitedServers.clear();
    return this->probeServers(request, now, actions);
}

ServerChoice ServerChooser::chooseForRetry(const RequestState& request, Milliseconds now) const
{
    return request.service->pool.choose(
        this->criteriaOf(request, now), this->contextOf(request, now), *this->dependencies.random);
}

HoldReason ServerChooser::holdReasonOf(const RequestState& request, Milliseconds now) const
{
    const RoutingContext context = this->contextOf(request, now);
    ServicePool& pool = request.service->pool;
    SelectionCriteria wish = this->criteriaOf(request, now);
    const ServerChoice usual = pool.choose(wish, context, *this->dependencies.random);
    if (usual.server) {
        const bool needsReport = this->options.probes && this->search.mayStartRound(request.search, now);
        wish.onlyWithRecentReport = true;
        return needsReport && !pool.choose(wish, context, *this->dependencies.random).server
            ? HoldReason::NoRecentReport
            : HoldReason::BehindOthers;
    }
    return usual.reason == NoServerReason::Slow ? HoldReason::Slow : HoldReason::ExpectedLoad;
}

std::shared_ptr<BackendServerState> ServerChooser::chooseAtEndOfWait(RequestState& request, Milliseconds now) const
{
    auto server = request.service->pool.chooseWithKnownRoom(
        this->criteriaOf(request, now), this->contextOf(request, now), *this->dependencies.random);
    request.heldBy = server ? this->holdReasonOf(request, now) : HoldReason::NoKnownRoom;
    return server;
}

ServerChoice ServerChooser::chooseForHedge(const RequestState& request, Milliseconds now) const
{
    return request.service->pool.choose({ .tried = request.tried,
                                            .onlyUntried = true,
                                            .mayUseTrialServers = false,
                                            .maxWorkFactor = ServerSearch::maxWorkFactorInTime(request.search, now),
                                            .slotShare = HedgeLimitShare },
        this->contextOf(request, now), *this->dependencies.random);
}

}
