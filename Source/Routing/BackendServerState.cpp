#include "Routing/BackendServerState.h"

#include "Base/Hash.h"

#include <algorithm>
#include <cmath>

namespace burlreach {

namespace {

constexpr std::size_t DefaultSlots = 3;
/** How long a backend server rests after a refusal; doubled with each in a row. */
constexpr Milliseconds FirstRest{ 5 };
constexpr unsigned MostDoublings = 7;
/** A request sent longer ago has reached the server. */
constexpr Milliseconds OnTheWay{ 8 };
/** How long a contradicted report counts for nothing. */
constexpr Milliseconds Distrust{ 1000 };

NetworkAddress addressOf(const v1::BackendServer& server)
{
    return { .host = server.address(), .port = static_cast<std::uint16_t>(server.port()) };
}

}

BackendServerState::BackendServerState(const std::string& service, const v1::BackendServer& server)
    : serverName(server.name())
    , nameHash(shortHashOf(service + "/" + server.name()))
    , serverAddress(addressOf(server))
    , limit({})
{
}

void BackendServerState::configure(const v1::BackendServer& server, double highestInFlight)
{
    const NetworkAddress address = addressOf(server);
    if (address != this->serverAddress) {
        this->serviceTimes.clear();
        this->lastReport = {};
        this->others = 0;
        this->failures = 0;
        this->leaving = false;
        this->leavingAt = LongAgo;
        this->ejectedUntil = LongAgo;
        this->limit.restart();
    }
    this->serverAddress = address;
    this->serverDataCentre = server.data_centre();
    this->slotCount = server.slots() ? server.slots() : DefaultSlots;
    this->draining = server.draining();
    this->mostInFlight = highestInFlight;
    this->limit.setHighest(highestInFlight);
}

void BackendServerState::sent(AttemptNumber attempt, Milliseconds now)
{
    this->flights.push_back({ .attempt = attempt, .sentAt = now, .crowd = this->crowd() });
}

Milliseconds BackendServerState::ended(AttemptNumber attempt, const AttemptEnd& end, Milliseconds now)
{
    const auto flight = std::find_if(
        this->flights.begin(), this->flights.end(), [attempt](const Flight& item) { return item.attempt == attempt; });
    if (flight == this->flights.end())
        return {};
    const Flight ended = *flight;
    this->flights.erase(flight);
    this->learn(end, ended, now);
    return now - ended.sentAt;
}

void BackendServerState::learn(const AttemptEnd& end, const Flight& flight, Milliseconds now)
{
    const Milliseconds response = now - flight.sentAt;
    switch (end.result) {
    case AttemptResult::Answered:
        this->failures = 0;
        this->refusals = 0;
        this->ejectionCount = 0;
        this->serviceTimes.add(response, flight.crowd, now);
        this->limit.succeeded(this->inFlight());
        break;
    case AttemptResult::RefusedNotRun:
        this->refused(now);
        break;
    case AttemptResult::TimedOut:
        this->serviceTimes.add(response, flight.crowd, now);
        this->limit.overloaded(now);
        this->failed();
        break;
    case AttemptResult::ErrorAnswer:
    case AttemptResult::NotSent:
    case AttemptResult::Broken:
        this->failed();
        break;
    case AttemptResult::Cancelled:
        break;
    }
}

double BackendServerState::crowd() const
{
    const double expected = static_cast<double>(this->inFlight()) + this->others + 1;
    return std::max(1.0, expected / static_cast<double>(this->slotCount));
}

bool BackendServerState::hasRoom(Milliseconds now) const
{
    if (this->adaptive)
        return now >= this->fullUntil && this->limit.hasRoom(this->inFlight());
    return static_cast<double>(this->inFlight()) + 1 <= this->mostInFlight;
}

void BackendServerState::refused(Milliseconds now)
{
    // A full backend server is healthy: fewer requests, and none for a moment,
    // or its quick refusals would draw all requests to it.
    this->limit.overloaded(now);
    const double doubling = std::exp2(static_cast<double>(std::min(this->refusals++, MostDoublings)));
    this->fullUntil = now + FirstRest * doubling;
}

void BackendServerState::failed()
{
    ++this->failures;
}

bool BackendServerState::reported(const LoadReport& report)
{
    if (report.at <= this->lastReport.at)
        return false;
    this->lastReport = report;
    const double reportedCount = report.inFlight;
    const auto own = static_cast<double>(this->inFlight());
    // A server that knows of fewer requests than are there from here alone
    // reports something else than its load.
    const auto isThere = [&](const Flight& flight) { return report.at - flight.sentAt > OnTheWay; };
    if (std::count_if(this->flights.begin(), this->flights.end(), isThere)
        > static_cast<std::ptrdiff_t>(report.inFlight))
        this->distrustedUntil = report.at + Distrust;
    this->others = std::max(0.0, reportedCount - own);
    return true;
}

bool BackendServerState::leavingSign(bool says, Milliseconds at)
{
    if (at <= this->leavingAt)
        return false;
    this->leavingAt = at;
    const bool changed = this->leaving != says;
    this->leaving = says;
    if (changed && !says)
        this->limit.restart();
    return changed;
}

void BackendServerState::eject(Milliseconds until)
{
    this->ejectedUntil = until;
    this->failures = 0;
    ++this->ejectionCount;
    this->limit.restart();
}

Milliseconds BackendServerState::oldestAge(Milliseconds now) const
{
    if (this->flights.empty())
        return {};
    return now - this->flights.front().sentAt;
}

}
