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

constexpr std::array<std::string_view, static_cast<std::size_t>(Disturbance::Count)> Names{
    "steady",
    "noisy-neighbours",
    "slow-server",
    "failing-server",
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

RunFigures PolicyRun::run()
{
    v1::Configuration configuration = virtualConfiguration(this->fleet.serverIds(), 1);
    configuration.mutable_services(0)->mutable_limits()->set_deadline_milliseconds(
        static_cast<std::uint32_t>(TimeLeft.count));
    v1::RequestRule* rule = configuration.mutable_services(0)->add_rules();
    rule->set_path_prefix("/");
    rule->set_repeat(v1::MAY_REPEAT);
    rule->set_target_milliseconds(static_cast<std::uint32_t>(Target.count));
    this->fleet.configure(configuration);
    this->fleet.startAll();
    this->fleet.run(WarmUp * 0.5);
    if (this->disturbance == Disturbance::NoisyNeighbours)
        this->changeNoise();
    this->arrive();
    this->fleet.run(WarmUp * 0.5);
    if (this->disturbance == Disturbance::SlowServer)
        this->fleet.server("s3").setFault(ServerFault::Slow);
    if (this->disturbance == Disturbance::FailingServer)
        this->fleet.server("s3").setFault(ServerFault::Fails);
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
