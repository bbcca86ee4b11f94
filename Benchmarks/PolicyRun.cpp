#include "Benchmarks/PolicyRun.h"

namespace burlreach {

namespace {

constexpr std::size_t Nodes = 3;
constexpr std::size_t Servers = 10;
constexpr std::size_t DataCentres = 4;
constexpr double SlotsOfAll = 30;
constexpr double ShareFromElsewhere = 0.5;

constexpr Milliseconds FleetSettled{ 2500 };
constexpr Milliseconds DisturbanceAt{ 4000 };
constexpr Milliseconds DisturbanceLength{ 2000 };
constexpr Milliseconds RushLength{ 500 };
constexpr Milliseconds LoadEnds{ 7000 };
constexpr Milliseconds RunEnds{ 12500 };

double loadOf(Disturbance disturbance)
{
    switch (disturbance) {
    case Disturbance::MorningRush:
        return 0.3;
    case Disturbance::Overload:
        return 1.5;
    case Disturbance::DataCentreLost:
        return 0.5;
    default:
        return 0.6;
    }
}

/** Slot milliseconds of an average request. */
double meanCost(double searchFactor)
{
    double cost = 0;
    double shares = 0;
    for (std::size_t kind = 0; kind < Kinds.size(); ++kind) {
        const double share = Kinds[kind].share * (kind ? 1 : searchFactor);
        cost += share * Kinds[kind].meanCost;
        shares += share;
    }
    return cost / shares;
}

/** Requests a millisecond, all kinds, at this share of capacity. */
double arrivalRate(double load, double searchFactor)
{
    const double base = load * SlotsOfAll / meanCost(1);
    const double searchShare = Kinds[0].share;
    return base * (searchShare * searchFactor + 1 - searchShare);
}

VirtualFleet::Options fleetOptions(const Contender& contender, std::uint64_t seed)
{
    VirtualFleet::Options options;
    options.seed = seed;
    options.nodes = Nodes;
    options.backendServers = Servers;
    options.dataCentres = DataCentres;
    options.tick = { 5 };
    options.policies = contender.policies;
    options.hedges = contender.hedges;
    options.probes = contender.probes;
    return options;
}

}

PolicyRun::PolicyRun(Disturbance givenDisturbance, const Contender& contender, std::uint64_t seed)
    : disturbance(givenDisturbance)
    , fleet(fleetOptions(contender, seed))
    , load(loadOf(givenDisturbance))
{
}

bool PolicyRun::isMeasured() const
{
    return this->fleet.time.now() >= DisturbanceAt;
}

void PolicyRun::disturb()
{
    VirtualTime& time = this->fleet.time;
    auto& servers = this->fleet.backends;
    BackendServerFaults& faults = servers[0]->faults;
    switch (this->disturbance) {
    case Disturbance::MorningRush:
        this->searchFactor = 5;
        return time.after(RushLength, [this] { this->searchFactor = 1; });
    case Disturbance::SlowServer:
        faults.slowness = 10;
        return time.after(DisturbanceLength, [&faults] { faults.slowness = 1; });
    case Disturbance::FastFailer:
        faults.failsFast = true;
        return time.after(DisturbanceLength, [&faults] { faults.failsFast = false; });
    case Disturbance::FrozenReport:
        faults.reportsIdle = true;
        faults.slowness = 3;
        return time.after(DisturbanceLength, [&faults] {
            faults.reportsIdle = false;
            faults.slowness = 1;
        });
    case Disturbance::DrainAndColdStart:
        servers[0]->leaving = true;
        servers[1]->coldFactor = 5;
        return;
    case Disturbance::DataCentreLost:
        for (const auto& server : servers)
            server->faults.dead = server->description().dataCentre == servers[0]->description().dataCentre;
        return;
    default:
        return;
    }
}

Milliseconds PolicyRun::gap()
{
    const double rate = arrivalRate(this->load, this->searchFactor) * ShareFromElsewhere;
    return { this->fleet.random.exponential(1 / rate) };
}

RequestKind PolicyRun::chooseKind()
{
    const double searches = Kinds[0].share * this->searchFactor;
    const double all = searches + Kinds[1].share + Kinds[2].share;
    const double chosen = this->fleet.random.unit() * all;
    if (chosen < searches)
        return RequestKind::Search;
    return chosen < searches + Kinds[1].share ? RequestKind::Booking : RequestKind::Report;
}

Milliseconds PolicyRun::cost(const KindDescription& description)
{
    // Half of it is the same for all requests of the kind.
    constexpr double fixedShare = 0.5;
    return { description.meanCost * fixedShare
        + this->fleet.random.exponential(description.meanCost * (1 - fixedShare)) };
}

void PolicyRun::arrive()
{
    if (this->fleet.time.now() >= LoadEnds)
        return;
    this->send(this->chooseKind());
    this->fleet.time.after(this->gap(), [this] { this->arrive(); });
}

void PolicyRun::send(RequestKind kind)
{
    const KindDescription& description = Kinds[static_cast<std::size_t>(kind)];
    KindResult& kindResult = this->result.kinds[static_cast<std::size_t>(kind)];
    const bool measured = this->isMeasured();
    const Milliseconds start = this->fleet.time.now();
    if (measured)
        ++kindResult.sent;
    CallerWork work;
    work.arrival.host = "bookings";
    work.arrival.method = kind == RequestKind::Booking ? "POST" : "GET";
    work.arrival.path = "/";
    work.arrival.timeLeft = Milliseconds{ description.deadline };
    work.arrival.priority = kind == RequestKind::Report ? v1::CAN_WAIT : v1::FIRST;
    work.runsOnce = kind == RequestKind::Booking;
    work.cost = this->cost(description);
    const double cost = work.cost.count;
    work.done = [this, &kindResult, measured, start, cost, deadline = description.deadline](const RequestEnd& end) {
        if (!measured)
            return;
        if (!end.answered) {
            ++this->result.refusals[std::string(nameOf(end.refusal.reason))];
            return;
        }
        const double took = (this->fleet.time.now() - start).count;
        const bool isGood = end.result == AttemptResult::Answered;
        kindResult.milliseconds.push_back(took);
        if (!isGood || took > deadline)
            return;
        ++kindResult.inTime;
        this->usefulWork += cost;
    };
    this->fleet.request(this->turn++ % Nodes, std::move(work));
}

void PolicyRun::arriveElsewhere()
{
    if (this->fleet.time.now() >= LoadEnds)
        return;
    const KindDescription& description = Kinds[static_cast<std::size_t>(this->chooseKind())];
    BackendWork work;
    work.cost = this->cost(description);
    const bool measured = this->isMeasured();
    work.done = [this, measured, cost = work.cost.count](const AttemptEnd& end) {
        if (measured && end.result == AttemptResult::Answered)
            this->usefulWork += cost;
    };
    // Other instances know what is leaving or dead as well.
    VirtualBackendServer& server = *this->fleet.backends[this->fleet.random.below(Servers)];
    if (!server.leaving && !server.faults.dead)
        server.arrive(std::move(work));
    this->fleet.time.after(this->gap(), [this] { this->arriveElsewhere(); });
}

RunResult PolicyRun::run()
{
    this->fleet.start();
    this->fleet.time.after(FleetSettled, [this] {
        this->arrive();
        this->arriveElsewhere();
    });
    this->fleet.time.after(DisturbanceAt, [this] { this->disturb(); });
    this->fleet.runUntil(RunEnds);
    this->finish();
    return this->result;
}

void PolicyRun::finish()
{
    double first = 0;
    double extra = 0;
    for (std::size_t node = 0; node < Nodes; ++node) {
        const DecisionCounters& counters = this->fleet.node(node).counters();
        first += static_cast<double>(counters.value(DecisionCount::FirstAttempts));
        for (std::size_t reason = 0; reason < static_cast<std::size_t>(RetryReason::Count); ++reason)
            extra += static_cast<double>(counters.value(static_cast<RetryReason>(reason)));
    }
    this->result.extraPerFirst = extra / first;
    const double seconds = RunEnds / Second;
    this->result.innerBytes = static_cast<double>(this->fleet.peerBytes) / (seconds * static_cast<double>(Nodes));
    double probing = 0;
    for (const auto& probes : this->fleet.probeTimes) {
        for (const ProbeTime& probe : probes)
            probing += (probe.to - probe.from).count;
    }
    this->result.probeMilliseconds = probing / (seconds * static_cast<double>(Servers));
    this->result.goodput = this->usefulWork / (SlotsOfAll * (LoadEnds - DisturbanceAt).count);
}

}
