#include "Node/HedgePlanner.h"

#include "Node/CrashingRequestDetector.h"
#include "Node/ServerChooser.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

/**
 * Lower bound of the time between two hedge checks of the same request. It keeps the number of timers small where
 * answers take less than a millisecond.
 */
constexpr Milliseconds MinHedgeInterval{ 20 };

}

HedgePlanner::HedgePlanner(Options givenOptions, Dependencies givenParts)
    : options(givenOptions)
    , dependencies(givenParts)
{
}

Milliseconds HedgePlanner::delay(const RequestState& request) const
{
    const Milliseconds usual = request.service->expectedTime(*request.route) * this->options.delayFactor;
    return std::min(usual, request.route->targetLatency * this->options.maxDelayShare);
}

bool HedgePlanner::isTooLate(const RequestState& request, Milliseconds now)
{
    const Milliseconds inTimeUntil = request.arrivedAt + request.route->targetLatency - request.spentBefore;
    return now + request.service->unloadedTime(*request.route) > inTimeUntil;
}

void HedgePlanner::attemptSent(RequestState& request, Milliseconds now) const
{
    const bool isHedged = this->options.isEnabled && !request.hedged && mayHedge(*request.route, request.history);
    request.hedgeAt = isHedged ? now + this->delay(request) : Never;
}

void HedgePlanner::attemptFailed(RequestState& request, Milliseconds now) const
{
    request.hedged = false;
    request.hedgeAt = this->options.isEnabled ? now + this->delay(request) : Never;
}

void HedgePlanner::deny(RequestState& request, HedgeDenial denial) const
{
    if (request.hedgeDenial == denial)
        return;
    request.hedgeDenial = denial;
    this->dependencies.counters->add(countOf(denial));
}

std::shared_ptr<BackendServerState> HedgePlanner::chooseServer(RequestState& request, Milliseconds now) const
{
    if (!mayHedge(*request.route, request.history) || this->dependencies.crashes->isSuspect(request))
        return nullptr;
    // If no server or retry budget is available now, check again later: the first attempt may never be answered, and
    // no other event would trigger a hedge.
    request.hedgeAt = now + std::max(this->delay(request), MinHedgeInterval);
    ServerChoice choice = this->dependencies.chooser->chooseForHedge(request, now);
    if (!choice.server) {
        this->deny(request, isTooLate(request, now) ? HedgeDenial::TooLate : HedgeDenial::NoServer);
        return nullptr;
    }
    RetryBudget& budget = request.service->retryBudget;
    if (!budget.takeForHedge(now)) {
        this->deny(request, budget.hasLeft(now) ? HedgeDenial::KeptForRetries : HedgeDenial::Budget);
        return nullptr;
    }
    this->dependencies.counters->add(RetryReason::Hedge);
    request.hedged = true;
    request.hedgeDenial.reset();
    return std::move(choice.server);
}

}
