#include "Node/ServerChooser.h"

#include "Routing/LoadAwarePolicy.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace burlreach {

namespace {

/**
 * Requests of callers that are late already go only to servers with less than
 * this share of their limit taken. So under overload those that can still be in
 * time go first, at all instances without a word between them. Share in time
 * with it and without: 0.56 and 0.42 in a rush, 0.35 and 0.20 at 1.5 times the
 * load that the servers can bear (Benchmarks, crowded-rush, crowded-overload).
 */
constexpr double LimitOfLate = 0.6;
/**
 * A hedge goes only to a server with this share of its limit taken or less:
 * where all are busy it would take the place of a first try. Share in time with
 * it and without: 0.59 and 0.56 in a rush, 0.70 and 0.69 with four of ten
 * servers lost (Benchmarks, crowded-rush and crowded-loss).
 */
constexpr double LimitOfHedge = 0.6;

}

ServerChooser::ServerChooser(Options givenOptions, Parts givenParts)
    : options(std::move(givenOptions))
    , parts(givenParts)
    , search(this->options.search,
          { .probes = givenParts.probes, .random = givenParts.random, .counters = givenParts.counters })
{
}

RoutingContext ServerChooser::contextOf(const RequestState& request, Milliseconds now) const
{
    return { .now = now,
        .dataCentre = this->options.dataCentre,
        .expected = request.service->expectedTime(*request.route),
        // A version that is tried gets no more than first attempts.
        .wantsTarget = request.wantsTarget && request.tried.empty() };
}

ChoiceWish ServerChooser::wishOf(const RequestState& request, Milliseconds now) const
{
    return { .tried = request.tried,
        .mayTry = request.route->repeat == Repeat::MayRepeat,
        .longestWork = this->search.longestWork(request.search, now),
        .limitShare = request.isLate ? LimitOfLate : 1 };
}

bool ServerChooser::begin(RequestState& request, Milliseconds now, Actions& actions) const
{
    request.search = this->search.begin({ .target = request.route->targetLatency,
                                            .spent = request.spent,
                                            .usualTime = request.service->usualTime(*request.route) },
        now);
    return this->options.probes && this->askForFigures(request, now, actions);
}

bool ServerChooser::isEnough(RequestState& request, const BackendServerState& server, Milliseconds now) const
{
    return this->search.isEnough(request.search, server, now);
}

bool ServerChooser::askForFigures(RequestState& request, Milliseconds now, Actions& actions) const
{
    std::vector<Probe> questions;
    const ServiceState& service = *request.service;
    const bool isAsking
        = this->search.ask(request.search, service.description, service.pool, this->contextOf(request, now), questions);
    for (Probe& question : questions)
        actions.emplace_back(SendProbe{ .probe = std::move(question) });
    return isAsking;
}

Choice ServerChooser::chooseOrAsk(RequestState& request, Milliseconds now, Actions& actions) const
{
    const RoutingContext context = this->contextOf(request, now);
    ServicePool& pool = request.service->pool;
    ChoiceWish wish = this->wishOf(request, now);
    wish.onlyHeard = this->options.probes && this->search.mayAsk(request.search, now);
    Choice choice = pool.choose(wish, context, *this->parts.random);
    const bool mayFindBetter = choice.reason == NoChoice::Slow || choice.reason == NoChoice::Unheard;
    if (choice.server || !mayFindBetter || this->holdBack(request, now, actions) || !wish.onlyHeard)
        return choice;
    wish.onlyHeard = false;
    return pool.choose(wish, context, *this->parts.random);
}

bool ServerChooser::holdBack(RequestState& request, Milliseconds now, Actions& actions) const
{
    // After the hold any server will do: it is sent rather than refused.
    request.waitUntil = std::max(request.waitUntil, request.search.holdUntil + PumpInterval * 2);
    const bool isAsking = !request.search.asked.empty() && now < request.search.askUntil;
    if (isAsking || !this->options.probes)
        return isAsking;
    request.search.asked.clear();
    return this->askForFigures(request, now, actions);
}

Choice ServerChooser::chooseAgain(const RequestState& request, Milliseconds now) const
{
    return request.service->pool.choose(this->wishOf(request, now), this->contextOf(request, now), *this->parts.random);
}

Choice ServerChooser::chooseForHedge(const RequestState& request, Milliseconds now) const
{
    return request.service->pool.choose({ .tried = request.tried,
                                            .onlyUntried = true,
                                            .mayTry = false,
                                            .longestWork = ServerSearch::longestWorkInTime(request.search, now),
                                            .limitShare = LimitOfHedge },
        this->contextOf(request, now), *this->parts.random);
}

}
