#include "Benchmarks/PolicyRun.h"

#include <array>
#include <string>

namespace burlreach {

namespace {

constexpr std::size_t Instances = 6;
constexpr std::size_t Servers = 10;
constexpr double Slots = 3;
constexpr Milliseconds Work{ 60 };
constexpr double Capacity = Servers * Slots * 1000 / 60;
constexpr double UsualShare = 0.3;
constexpr double OverloadShare = 1.5;
constexpr Milliseconds Target{ 200 };
constexpr Milliseconds TimeLeft{ 1000 };
constexpr Milliseconds WarmUp{ 2000 };
constexpr Milliseconds Measured{ 6000 };
constexpr Milliseconds NoiseInterval{ 150 };
constexpr double NoiseShare = 0.25;
constexpr double NoiseFactor = 5;
constexpr double RushFactor = 3;

constexpr std::array<std::string_view, static_cast<std::size_t>(Disturbance::Count)> Names{
    "steady",
    "noisy-neighbours",
    "slow-server",
    "failing-server",
    "frozen-report",
    "drain",
    "data-centre-lost",
    "morning-rush",
    "overload",
};

VirtualFleet::Options fleetOptions(const Contender& contender, std::uint64_t seed)
{
    VirtualFleet::Options options;
    options.instances = Instances;
    options.seed = seed;
    options.policies = contender.policies;
    options.requests = contender.requests;
    return options;
}

}

std::string_view nameOf(Disturbance disturbance)
{
    return Names.at(static_cast<std::size_t>(disturbance));
}

PolicyRun::PolicyRun(Disturbance givenDisturbance, const Contender& contender, std::uint64_t seed)
    : disturbance(givenDisturbance)
    , random(seed)
    , fleet(fleetOptions(contender, seed))
    , requestsPerSecond(Capacity * (givenDisturbance == Disturbance::Overload ? OverloadShare : UsualShare))
{
    for (std::size_t server = 0; server < Servers; ++server)
        this->fleet.addServer({ .id = "s" + std::to_string(server), .work = Work, .workSpread = 0.5 });
}

void PolicyRun::changeNoise()
{
    for (const std::string& id : this->fleet.serverIds())
        this->fleet.server(id).setNoise(this->random.unit() < NoiseShare ? NoiseFactor : 1);
    this->fleet.clock().after(NoiseInterval, [this] { this->changeNoise(); });
}

void PolicyRun::arrive()
{
    this->fleet.send(this->turn++ % Instances, "bookings.example", "GET", "/search", TimeLeft);
    const Milliseconds gap{ this->random.exponential(1000 / this->requestsPerSecond) };
    this->fleet.clock().after(gap, [this] { this->arrive(); });
}

void PolicyRun::disturb()
{
    VirtualBackendServer& struck = this->fleet.server("s3");
    switch (this->disturbance) {
    case Disturbance::SlowServer:
        return struck.setFault(ServerFault::Slow);
    case Disturbance::FailingServer:
        return struck.setFault(ServerFault::Fails);
    case Disturbance::FrozenReport:
        struck.setNoise(NoiseFactor);
        return struck.setFrozenReport(true);
    case Disturbance::Drain:
        return this->drainTwo();
    case Disturbance::DataCentreLost:
        // Servers are spread over three data centres in the order of their names.
        for (const char* id : { "s0", "s3", "s6", "s9" })
            this->fleet.server(id).setFault(ServerFault::Dark);
        return;
    case Disturbance::MorningRush:
        this->requestsPerSecond *= RushFactor;
        this->fleet.clock().after(Second, [this] { this->requestsPerSecond /= RushFactor; });
        return;
    default:
        return;
    }
}

void PolicyRun::drainTwo()
{
    v1::Configuration configuration = this->configuration(2);
    for (v1::BackendServer& server : *configuration.mutable_services(0)->mutable_backend_servers())
        server.set_draining(server.name() == "s3" || server.name() == "s4");
    this->fleet.configure(configuration);
}

v1::Configuration PolicyRun::configuration(std::uint32_t revision) const
{
    v1::Configuration configuration = virtualConfiguration(this->fleet.serverIds(), revision);
    v1::Service* service = configuration.mutable_services(0);
    service->mutable_limits()->set_deadline_milliseconds(static_cast<std::uint32_t>(TimeLeft.count));
    v1::RequestRule* rule = service->add_rules();
    rule->set_path_prefix("/");
    rule->set_repeat(v1::MAY_REPEAT);
    rule->set_target_milliseconds(static_cast<std::uint32_t>(Target.count));
    return configuration;
}

RunFigures PolicyRun::run()
{
    this->fleet.configure(this->configuration(1));
    this->fleet.startAll();
    this->fleet.run(WarmUp * 0.5);
    if (this->disturbance == Disturbance::NoisyNeighbours)
        this->changeNoise();
    this->arrive();
    this->fleet.run(WarmUp * 0.5);
    this->disturb();
    this->fleet.run(Measured);
    return this->figures();
}

RunFigures PolicyRun::figures() const
{
    RunFigures figures;
    const Milliseconds end = this->fleet.now() - TimeLeft;
    for (const auto& [number, caller] : this->fleet.callers()) {
        if (caller.sentAt < WarmUp || caller.sentAt > end)
            continue;
        ++figures.sent;
        if (caller.outcome != CallerOutcome::Answered)
            continue;
        const Milliseconds took = caller.endedAt - caller.sentAt;
        figures.milliseconds.push_back(took.count);
        figures.inTime += took <= Target ? 1 : 0;
    }
    const auto requests = static_cast<double>(this->fleet.callers().size());
    figures.arrivalsPerRequest = static_cast<double>(this->fleet.sentAttempts().size()) / requests;
    figures.probesPerRequest = static_cast<double>(this->fleet.probes()) / requests;
    return figures;
}

}
