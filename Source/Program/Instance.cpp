#include "Program/Instance.h"

#include "Program/MetricsText.h"

#include <asio/post.hpp>
#include <chrono>
#include <csignal>
#include <random>
#include <unistd.h>

namespace burlreach {

namespace {

constexpr std::chrono::milliseconds TickInterval{ 5 };
constexpr Milliseconds TendingInterval{ 200 };
/** For connections that began just before no more were let in. */
constexpr Milliseconds Settling{ 300 };

/** Rises with each start, also when the process ids repeat. */
std::uint64_t newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

Node::Options nodeOptions(const Settings& settings)
{
    Node::Options options;
    options.name = settings.instanceName;
    options.dataCentre = settings.dataCentre;
    options.peersAddress = settings.peersAddress;
    options.incarnation = newIncarnation();
    options.seed = std::random_device{}();
    options.heartbeatInterval = settings.heartbeatInterval;
    options.requestIdsKept = settings.requestIdsKept;
    return options;
}

CallerServer::Options callerOptions(const Settings& settings)
{
    return { .address = settings.callersAddress,
        .maximumSessions = settings.maximumSessions,
        .maximumHeaderBytes = settings.maximumHeaderBytes,
        .maximumBodyBytes = settings.maximumBodyBytes,
        .idleSession = settings.idleSession };
}

PlatformOptions platformOptions(const Settings& settings)
{
    return { .address = settings.platformAddress,
        .keyPrefix = settings.platformKeyPrefix,
        .serviceName = settings.platformServiceName };
}

}

Instance::Instance(const Settings& givenSettings)
    : settings(givenSettings)
    , log("instance")
    , configurationLog("configuration")
    , membershipLog("membership")
    , node(nodeOptions(givenSettings))
    , signals(this->context)
    , timer(this->context)
    , peerClient(this->context, this->clock, this->metrics)
    , peerServer(this->context, *this, this->metrics)
    , platform(platformOptions(givenSettings), *this, *this, this->metrics)
    , runner(this->clock, *this, this->metrics)
    , callers(callerOptions(givenSettings), this->runner, this->metrics)
    , operators(givenSettings.operatorsAddress, *this, *this)
{
}

void Instance::post(const Event& event)
{
    Actions actions;
    {
        const std::lock_guard lock(this->mutex);
        this->node.handle(event, this->clock.now(), actions);
    }
    for (const Action& action : actions)
        this->execute(action);
}

void Instance::execute(const Action& action)
{
    std::visit(
        [this](const auto& item) {
            using Kind = std::decay_t<decltype(item)>;
            if constexpr (std::is_same_v<Kind, SendToPeer> || std::is_same_v<Kind, AskStore>)
                this->execute(item);
            else if constexpr (std::is_same_v<Kind, AnswerChange> || std::is_same_v<Kind, AnswerInForce>)
                this->operators.execute(item);
            else
                this->runner.execute(item);
        },
        action);
}

void Instance::execute(const SendToPeer& action)
{
    asio::post(this->context, [this, action] { this->peerClient.send(action.address, action.message); });
}

void Instance::execute(const AskStore& action)
{
    this->platform.call(action.request);
}

void Instance::peerMessageReceived(peers::PeerMessage message)
{
    this->post(PeerMessageArrived{ .message = std::move(message) });
}

PlatformPlan Instance::platformPlan() const
{
    const std::lock_guard lock(this->mutex);
    return this->node.platformPlan();
}

std::vector<std::string> Instance::serviceNames() const
{
    std::vector<std::string> names;
    const v1::Configuration configuration = this->configurationInForce();
    for (const v1::Service& service : configuration.services())
        names.push_back(service.name());
    return names;
}

v1::Configuration Instance::configurationInForce() const
{
    const std::lock_guard lock(this->mutex);
    const v1::Configuration* configuration = this->node.configuration();
    return configuration ? *configuration : v1::Configuration();
}

v1::ShowLoadAnswer Instance::showLoad(const std::string& service) const
{
    const std::lock_guard lock(this->mutex);
    return this->node.showLoad(service, this->clock.now());
}

v1::ShowCountersAnswer Instance::showCounters() const
{
    const std::lock_guard lock(this->mutex);
    return countersOf(this->node.counters(), this->metrics, this->node.claimRecords(), this->node.openRequests());
}

std::string Instance::metricsText() const
{
    return writeMetrics(this->showCounters(), this->metrics);
}

bool Instance::isReady() const
{
    const std::lock_guard lock(this->mutex);
    return this->node.isReady();
}

std::error_code Instance::start()
{
    if (const auto error = this->peerServer.listen(this->settings.peersAddress)) {
        this->log.error("The address for peers cannot be used: " + this->settings.peersAddress.text() + ": "
            + error.message() + ". Free it or name another one in /listen/peers.");
        return error;
    }
    if (const auto error = this->operators.start()) {
        this->log.error("The address for operators cannot be used: " + this->settings.operatorsAddress.text()
            + ". Free it or name another one in /listen/operators.");
        return error;
    }
    if (const auto error = this->callers.start()) {
        this->log.error("The address for callers cannot be used: " + this->settings.callersAddress.text()
            + ". Free it or name another one in /listen/callers.");
        return error;
    }
    this->platform.start();
    return {};
}

std::error_code Instance::run()
{
    if (const auto error = this->start())
        return error;
    this->log.info("Started; callers are served at " + this->settings.callersAddress.text() + ".");
    this->signals.add(SIGTERM);
    this->signals.add(SIGINT);
    this->awaitSignal();
    this->scheduleTick();
    this->context.run();
    this->callers.finish();
    this->operators.stop();
    this->platform.stop();
    this->runner.stop();
    this->peerClient.close();
    this->peerServer.close();
    this->log.info("Stopped.");
    return {};
}

void Instance::awaitSignal()
{
    this->signals.async_wait([this](const asio::error_code& error, int) {
        if (error)
            return;
        if (this->stopStep == StopStep::None)
            this->beginStop();
        else
            this->log.info("A stop is under way; it ends within its bound.");
        this->awaitSignal();
    });
}

void Instance::scheduleTick()
{
    this->timer.expires_after(TickInterval);
    this->timer.async_wait([this](const asio::error_code& error) {
        if (!error)
            this->tick();
    });
}

void Instance::tick()
{
    this->post(Tick{});
    this->tendSlowly();
    this->advanceStop();
    if (this->context.stopped())
        return;
    this->scheduleTick();
}

void Instance::tendSlowly()
{
    const Milliseconds now = this->clock.now();
    if (now < this->nextTending)
        return;
    this->nextTending = now + TendingInterval;
    this->peerClient.tend();
    this->runner.checkCallers();
    this->runner.closeIdleConnections();
    this->noteChanges();
    this->noteReadiness();
}

void Instance::noteChanges()
{
    std::uint32_t revision = 0;
    std::uint32_t epoch = 0;
    int members = 0;
    {
        const std::lock_guard lock(this->mutex);
        revision = this->node.configuration() ? this->node.configuration()->revision() : 0;
        epoch = this->node.ownership().epoch();
        members = this->node.ownership().members_size();
    }
    if (revision != this->notedRevision)
        this->configurationLog.info("Revision " + std::to_string(revision) + " is in force.");
    if (epoch != this->notedEpoch)
        this->membershipLog.info("Epoch " + std::to_string(epoch) + " has " + std::to_string(members) + " members.");
    this->notedRevision = revision;
    this->notedEpoch = epoch;
}

void Instance::noteReadiness()
{
    const bool isReadyNow = this->isReady();
    if (isReadyNow && !this->wasReady)
        this->log.info("Ready.");
    this->wasReady = isReadyNow;
}

void Instance::beginStop()
{
    this->log.info("Stopping; not ready any more, requests in flight go on.");
    this->stopStep = StopStep::Announced;
    this->stopBegan = this->clock.now();
    this->callers.closeAfterAnswers();
    this->post(StopAsked{});
}

void Instance::advanceStop()
{
    if (this->stopStep == StopStep::None)
        return;
    const Milliseconds since = this->clock.now() - this->stopBegan;
    if (this->stopStep == StopStep::Announced && since >= this->settings.stopReadinessLead) {
        this->stopStep = StopStep::Draining;
        this->callers.closeIdle();
    }
    if (this->stopStep != StopStep::Draining)
        return;
    const bool isBoundReached = since >= this->settings.stopBound;
    bool mayEnd = false;
    {
        const std::lock_guard lock(this->mutex);
        mayEnd = this->node.mayEnd() && !this->metrics.openSessions;
    }
    const bool isSettled = since >= this->settings.stopReadinessLead + Settling;
    if ((!mayEnd || !isSettled) && !isBoundReached)
        return;
    if (!mayEnd)
        this->log.warning("The bound of the stop is reached; what is left ends now.");
    this->context.stop();
}

}
