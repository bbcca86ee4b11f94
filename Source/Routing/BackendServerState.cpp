#include "Routing/BackendServerState.h"

#include <algorithm>
#include <cmath>

namespace burlreach {

namespace {

/** A backend server gets no requests for this long after a refusal; doubled with each consecutive refusal. */
constexpr Milliseconds FirstRefusalBackoff{ 10 };
constexpr unsigned MostDoublings = 5;
constexpr double SampleShare = 0.15;
/** Time constant with which estimates decay while no new samples arrive. */
constexpr Milliseconds EstimateDecayTime{ 3000 };
constexpr double HighestSlowness = 20;
/** A load report of at most this age describes the load that an attempt meets at the server. */
constexpr Milliseconds FreshReportAge{ 30 };
/**
 * A request that has been in flight for longer than this has reached the server, and the server has not answered it,
 * or only just now.
 */
constexpr Milliseconds MaxTransitTime{ 25 };
/** Load reports of a server are ignored for this long after one that contradicts the requests in flight. */
constexpr Milliseconds DistrustPeriod{ 1000 };
constexpr double UsualPercent = 100;
/** Work that takes up to this percentage of the usual time is not slow. */
constexpr std::uint32_t UsualSpeedPercent = 125;

/** How many times longer than usual work takes, as the server reported it with this answer. */
double reportedSlowdown(const AttemptEnd& end)
{
    return end.load ? std::max(1.0, end.load->workPercent / UsualPercent) : 1;
}

double remainingWeight(Milliseconds since, Milliseconds now)
{
    return std::exp(-std::max(0.0, (now - since).count) / EstimateDecayTime.count);
}

}

BackendServerState::BackendServerState(const BackendServerRecord& record, Milliseconds now)
{
    this->configure(record, now);
}

void BackendServerState::configure(const BackendServerRecord& record, Milliseconds now)
{
    // A record without a cold time ends only a cold time that came from an earlier record, not one that the server
    // reported itself.
    const bool hadColdRecord = this->description.coldRemaining.count > 0;
    this->description = record;
    if (record.coldRemaining.count > 0)
        this->coldUntil = now + record.coldRemaining;
    else if (hadColdRecord)
        this->coldUntil = LongAgo;
}

double BackendServerState::slots() const
{
    const std::uint32_t reportedSlots = this->lastReport.load.slots;
    return static_cast<double>(std::max<std::size_t>(1, reportedSlots ? reportedSlots : this->description.slots));
}

bool BackendServerState::takesNewRequests() const
{
    return !this->isLeaving() && !this->replaced && !this->emptied;
}

void BackendServerState::sent(AttemptNumber attempt, Milliseconds now)
{
    const double use
        = (static_cast<double>(this->inFlight()) + this->lastReport.requestsFromOthers + 1) / this->slots();
    const bool isFresh = now - this->lastReport.at <= FreshReportAge;
    this->flights.push_back({ .attempt = attempt,
        .sentAt = now,
        .requestsPerSlot = std::max(1.0, use),
        .slotUse = isFresh ? use : 0,
        .permit = this->sendPermits.take(now) });
}

void BackendServerState::answerBegan(AttemptNumber attempt, Milliseconds now)
{
    for (InFlightAttempt& flight : this->flights) {
        if (flight.attempt == attempt)
            flight.answerBeganAt = now;
    }
}

FinishedAttempt BackendServerState::ended(
    AttemptNumber attempt, const AttemptEnd& end, Milliseconds expected, Milliseconds now)
{
    const auto flight = std::find_if(this->flights.begin(), this->flights.end(),
        [attempt](const InFlightAttempt& item) { return item.attempt == attempt; });
    if (flight == this->flights.end())
        return {};
    const InFlightAttempt ended = *flight;
    this->flights.erase(flight);
    if (ended.permit && end.result == AttemptResult::NotSent)
        this->sendPermits.add(*ended.permit);
    if (end.load)
        this->updateLoad(*end.load, now);
    this->updateEstimates(end, ended, expected, now);
    if (end.result != AttemptResult::Answered || expected.count <= 0)
        return {};
    const Milliseconds took = ended.answerBeganAt.value_or(now) - ended.sentAt;
    return { .relativeTime = took / expected / reportedSlowdown(end), .slotUse = ended.slotUse };
}

void BackendServerState::updateEstimates(
    const AttemptEnd& end, const InFlightAttempt& flight, Milliseconds expected, Milliseconds now)
{
    switch (end.result) {
    case AttemptResult::Answered:
        this->recordSuccess(flight, now);
        this->updateSlowness(end, flight, expected, now);
        break;
    case AttemptResult::RefusedNotRun:
        this->recordRefusal(now);
        break;
    case AttemptResult::OtherServer:
        this->markReplaced();
        break;
    case AttemptResult::TimedOut:
        this->updateSlowness(end, flight, expected, now);
        this->recordFailure(now);
        break;
    case AttemptResult::NotSent:
        // During a pause, or right after the server reported a limit, this instance itself held the request back.
        if (!this->isPaused(now) && (flight.permit || !this->sendPermits.isLimited()))
            this->recordFailure(now);
        break;
    case AttemptResult::ErrorAnswer:
    case AttemptResult::Broken:
        this->recordFailure(now);
        break;
    case AttemptResult::Cancelled:
        break;
    }
}

void BackendServerState::updateSlowness(
    const AttemptEnd& end, const InFlightAttempt& flight, Milliseconds expected, Milliseconds now)
{
    if (expected.count <= 0)
        return;
    // The slowdown that the server reports is temporary and is accounted for separately.
    const Milliseconds took = flight.answerBeganAt.value_or(now) - flight.sentAt;
    const double sample = took / expected / flight.requestsPerSlot / reportedSlowdown(end);
    const double before = this->slowness(now);
    this->slownessEstimate = std::min(HighestSlowness, before + (sample - before) * SampleShare);
    this->slownessAt = now;
}

double BackendServerState::slowness(Milliseconds now) const
{
    return 1 + (this->slownessEstimate - 1) * remainingWeight(this->slownessAt, now);
}

double BackendServerState::failureShare(Milliseconds now) const
{
    return this->failureEstimate * remainingWeight(this->failureAt, now);
}

void BackendServerState::addOutcome(double failure, Milliseconds now)
{
    const double before = this->failureShare(now);
    this->failureEstimate = before + (failure - before) * SampleShare;
    this->failureAt = now;
}

void BackendServerState::pauseUntil(Milliseconds until)
{
    this->pauseEnd = std::max(this->pauseEnd, until);
    this->allowedAfterPause = 1;
}

void BackendServerState::rampUpAfterPause(const InFlightAttempt& flight)
{
    // Answers to requests sent before the end of the pause do not show how the server copes after it.
    if (!this->allowedAfterPause || flight.sentAt < this->pauseEnd)
        return;
    this->allowedAfterPause *= 2;
    if (static_cast<double>(this->allowedAfterPause) > this->slots())
        this->allowedAfterPause = 0;
}

void BackendServerState::recordSuccess(const InFlightAttempt& flight, Milliseconds now)
{
    this->rampUpAfterPause(flight);
    this->failures = 0;
    this->refusals = 0;
    this->ejectionCount = 0;
    this->addOutcome(0, now);
}

void BackendServerState::recordFailure(Milliseconds now)
{
    ++this->failures;
    this->addOutcome(1, now);
}

void BackendServerState::recordRefusal(Milliseconds now)
{
    // A full backend server is healthy, but its quick refusals must not attract all requests.
    const double doubling = std::exp2(static_cast<double>(std::min(this->refusals++, MostDoublings)));
    this->backoffUntil = now + FirstRefusalBackoff * doubling;
}

void BackendServerState::updateLoad(const ReportedLoad& figures, Milliseconds now)
{
    const double total = static_cast<double>(figures.running) + figures.waiting;
    // A server that reports fewer requests than this instance alone has in flight there does not report its real load.
    const auto hasReachedServer = [now](const InFlightAttempt& flight) { return now - flight.sentAt > MaxTransitTime; };
    if (static_cast<double>(std::count_if(this->flights.begin(), this->flights.end(), hasReachedServer)) > total)
        this->distrustedUntil = now + DistrustPeriod;
    this->lastReport = {
        .load = figures, .requestsFromOthers = std::max(0.0, total - static_cast<double>(this->inFlight())), .at = now
    };
}

void BackendServerState::probeFailed()
{
    ++this->failures;
}

bool BackendServerState::isReportedIdle(Milliseconds now) const
{
    return now - this->lastReport.at <= FreshReportAge && this->lastReport.load.workPercent <= UsualSpeedPercent
        && static_cast<double>(this->inFlight()) + this->lastReport.requestsFromOthers < 1;
}

void BackendServerState::eject(Milliseconds until)
{
    this->ejectedUntil = until;
    ++this->ejectionCount;
    this->failures = 0;
}

void BackendServerState::forgetFailures()
{
    this->failures = 0;
    this->failureEstimate = 0;
    this->slownessEstimate = 1;
    this->ejectionCount = 0;
    this->ejectedUntil = LongAgo;
}

Milliseconds BackendServerState::oldestAge(Milliseconds now) const
{
    Milliseconds oldest;
    for (const InFlightAttempt& flight : this->flights)
        oldest = std::max(oldest, now - flight.sentAt);
    return oldest;
}

}
