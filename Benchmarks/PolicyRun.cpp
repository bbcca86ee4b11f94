#include "Benchmarks/PolicyRun.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>

namespace burlreach {

namespace {

constexpr double OverloadShare = 1.5;
constexpr double HalfLoad = 0.5;
constexpr Milliseconds WarmUp{ 2000 };
constexpr Milliseconds Measured{ 6000 };
constexpr Milliseconds NoiseInterval{ 150 };
constexpr double NoiseShare = 0.25;
constexpr double NoiseFactor = 5;
constexpr double WorkSpread = 0.5;
/** How long all instances are down; nothing is served meanwhile. */
constexpr Milliseconds Outage{ 1500 };
/** After this a caller retries whose connection broke or who could not connect. */
constexpr Milliseconds CutCallerWaits{ 1000 };
constexpr Milliseconds WorstWindow{ 2000 };

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
    "crowded-rush",
    "crowded-outage",
    "crowded-loss",
    "crowded-overload",
    "many-instances",
    "slow-spells",
};

/** Requests span several noise intervals; a full server has a lower throughput than one with a slot or two free. */
constexpr PolicyScene Crowded{ .instances = 17,
    .slots = 6,
    .work = { 220 },
    .kneeUse = 0.8,
    .kneeFactor = 1.7,
    .load = 0.7,
    .rush = 1.8,
    .rushSpan = { 3000 },
    .target = { 600 },
    .timeLeft = { 4000 },
    .returns = 2,
    .isNoisy = true,
    .isCrowded = true };

/** Each instance gets two requests a second; a server's probe budget allows each instance one probe a second. */
constexpr PolicyScene Many{ .instances = 150,
    .servers = 40,
    .work = { 150 },
    .load = 0.45,
    .target = { 400 },
    .timeLeft = { 3000 },
    .isNoisy = true,
    .isFromFirst = true,
    .isCrowded = true };

/**
 * A request that starts slowly stays slow and occupies one of two slots five times
 * as long. Each instance gets two requests a second, so it learns little from its
 * own requests.
 */
constexpr PolicyScene Spells{ .instances = 95,
    .servers = 60,
    .slots = 2,
    .work = { 160 },
    .kneeUse = 0.8,
    .kneeFactor = 1.7,
    .load = 0.45,
    .target = { 400 },
    .timeLeft = { 4000 },
    .returns = 2,
    .isNoisy = true };

PolicyScene sceneOf(Disturbance disturbance)
{
    PolicyScene scene;
    switch (disturbance) {
    case Disturbance::NoisyNeighbours:
        scene.isNoisy = true;
        return scene;
    case Disturbance::Overload:
        scene.load = OverloadShare;
        return scene;
    case Disturbance::CrowdedOverload:
        scene = Crowded;
        scene.load = OverloadShare;
        return scene;
    case Disturbance::CrowdedLoss:
        scene = Crowded;
        scene.load = HalfLoad;
        return scene;
    case Disturbance::CrowdedRush:
    case Disturbance::CrowdedOutage:
        return Crowded;
    case Disturbance::ManyInstances:
        return Many;
    case Disturbance::SlowSpells:
        return Spells;
    default:
        return scene;
    }
}

/** Returns the capacity of the servers in requests a second, at the best number of slots in use. */
double capacityOf(const PolicyScene& scene)
{
    const double noise = scene.isCrowded ? 1 - NoiseShare + NoiseShare / NoiseFactor : 1;
    const double below = std::floor(static_cast<double>(scene.slots) * scene.kneeUse);
    const double best = std::max(below, static_cast<double>(scene.slots) / scene.kneeFactor);
    return static_cast<double>(scene.servers) * best * noise * (Second / scene.work);
}

VirtualFleet::Options fleetOptions(const PolicyScene& scene, const Contender& contender, std::uint64_t seed)
{
    VirtualFleet::Options options;
    options.instances = scene.instances;
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
    , scene(sceneOf(givenDisturbance))
    , random(seed)
    , fleet(fleetOptions(this->scene, contender, seed))
    , requestsPerSecond(capacityOf(this->scene) * this->scene.load)
{
    for (std::size_t server = 0; server < this->scene.servers; ++server)
        this->fleet.addServer({ .id = "s" + std::to_string(server),
            .slots = this->scene.slots,
            .work = this->scene.work,
            .workSpread = WorkSpread,
            .changesSpeedAtWork = this->scene.isCrowded,
            .kneeUse = this->scene.kneeUse,
            .kneeFactor = this->scene.kneeFactor });
    this->fleet.whenCallerEnds([this](const VirtualCaller& caller) { this->callerEnded(caller); });
}

void PolicyRun::changeNoise()
{
    for (const std::string& id : this->fleet.serverIds())
        this->fleet.server(id).setNoise(this->random.unit() < NoiseShare ? NoiseFactor : 1);
    this->fleet.clock().after(NoiseInterval, [this] { this->changeNoise(); });
}

void PolicyRun::arrive()
{
    this->wishes.push_back({ .firstSentAt = this->fleet.now() });
    this->attempt(this->wishes.size() - 1);
    const Milliseconds gap{ this->random.exponential(1000 / this->requestsPerSecond) };
    this->fleet.clock().after(gap, [this] { this->arrive(); });
}

void PolicyRun::attempt(std::size_t number)
{
    Wish& wish = this->wishes[number];
    const Milliseconds timeLeft = wish.firstSentAt + this->scene.timeLeft - this->fleet.now();
    if (timeLeft <= Milliseconds{})
        return;
    ++wish.tries;
    const std::size_t instance = this->turn++ % this->scene.instances;
    if (!this->fleet.isAlive(instance))
        return this->fleet.clock().after(CutCallerWaits, [this, number] { this->attempt(number); });
    const std::uint64_t caller = this->fleet.send(instance, "bookings.example", "GET", "/search", timeLeft);
    this->wishOfCaller[caller] = number;
    // The caller may already have its answer.
    if (this->fleet.callers().at(caller).outcome != CallerOutcome::Waiting)
        this->callerEnded(this->fleet.callers().at(caller));
}

void PolicyRun::callerEnded(const VirtualCaller& caller)
{
    const auto found = this->wishOfCaller.find(caller.number);
    if (found == this->wishOfCaller.end())
        return;
    const std::size_t number = found->second;
    this->wishOfCaller.erase(found);
    if (caller.outcome == CallerOutcome::Answered) {
        this->wishes[number].answeredAt = this->fleet.now();
        return;
    }
    if (this->wishes[number].tries > this->scene.returns)
        return;
    const bool isTold = caller.outcome == CallerOutcome::NotRun || caller.outcome == CallerOutcome::Unknown;
    const Milliseconds pause = isTold ? caller.comeBackAfter : CutCallerWaits;
    this->fleet.clock().after(pause, [this, number] { this->attempt(number); });
}

void PolicyRun::rush()
{
    this->requestsPerSecond *= this->scene.rush;
    this->fleet.clock().after(this->scene.rushSpan, [this] { this->requestsPerSecond /= this->scene.rush; });
}

void PolicyRun::loseAllInstances()
{
    for (std::size_t instance = 0; instance < this->scene.instances; ++instance)
        this->fleet.kill(instance);
    this->fleet.clock().after(Outage, [this] { this->fleet.startAll(); });
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
    case Disturbance::CrowdedLoss:
    case Disturbance::DataCentreLost:
        // Servers are assigned to three data centres in turn: these four are all of one.
        for (const char* id : { "s0", "s3", "s6", "s9" })
            this->fleet.server(id).setFault(ServerFault::Dark);
        return;
    case Disturbance::MorningRush:
    case Disturbance::CrowdedRush:
        return this->rush();
    case Disturbance::CrowdedOutage:
        return this->loseAllInstances();
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
    service->mutable_limits()->set_deadline_milliseconds(static_cast<std::uint32_t>(this->scene.timeLeft.count));
    v1::RequestRule* rule = service->add_rules();
    rule->set_path_prefix("/");
    rule->set_repeat(v1::MAY_REPEAT);
    rule->set_target_milliseconds(static_cast<std::uint32_t>(this->scene.target.count));
    return configuration;
}

RunFigures PolicyRun::run()
{
    this->fleet.configure(this->configuration(1));
    this->fleet.startAll();
    this->fleet.run(WarmUp * 0.5);
    if (this->scene.isNoisy)
        this->changeNoise();
    if (!this->scene.isFromFirst)
        this->arrive();
    this->fleet.run(WarmUp * 0.5);
    if (this->scene.isFromFirst)
        this->arrive();
    this->disturb();
    this->fleet.run(Measured);
    return this->figures();
}

RunFigures PolicyRun::figures() const
{
    /** Callers whose first attempts fell into the same two seconds. */
    struct Window {
        double sent = 0;
        double inTime = 0;
    };
    RunFigures figures;
    std::map<int, Window> windows;
    const Milliseconds end = this->fleet.now() - this->scene.target;
    for (const Wish& wish : this->wishes) {
        if (wish.firstSentAt < WarmUp || wish.firstSentAt > end)
            continue;
        Window& window = windows[static_cast<int>(wish.firstSentAt / WorstWindow)];
        ++figures.sent;
        window.sent += 1;
        if (wish.answeredAt == Never)
            continue;
        const Milliseconds took = wish.answeredAt - wish.firstSentAt;
        const bool isInTime = took <= this->scene.target;
        figures.milliseconds.push_back(took.count);
        figures.inTime += isInTime ? 1 : 0;
        window.inTime += isInTime ? 1 : 0;
    }
    for (const auto& [number, window] : windows)
        figures.worstInTime = std::min(figures.worstInTime, window.inTime / window.sent);
    const auto requests = static_cast<double>(this->fleet.callers().size());
    figures.arrivalsPerRequest = static_cast<double>(this->fleet.sentAttempts().size()) / requests;
    figures.probesPerRequest = static_cast<double>(this->fleet.probes()) / requests;
    return figures;
}

}
