#include "Program/Instance.h"

#include "Base/ChronoDuration.h"
#include "Program/ConfigurationView.h"
#include "Program/ConnectionLimits.h"
#include "Program/EarlySignals.h"
#include "Program/ListenerStop.h"
#include "Program/MetricsText.h"

#include <algorithm>
#include <asio/dispatch.hpp>
#include <asio/post.hpp>
#include <chrono>
#include <cmath>
#include <csignal>
#include <random>
#include <utility>

namespace burlreach {

namespace {

constexpr Milliseconds TendingInterval{ 500 };
constexpr Milliseconds StopInterval{ 50 };
/** The number of suppressed log lines is logged once per this many runs of tend(). */
constexpr unsigned TendingsPerTelling = 10;
/** Time for the threads to end after the last step of a stop; an operator's silent connection would hold one for 5 s.
 */
constexpr Milliseconds ClosePatience{ 500 };
/** Share of the stop's bound at which the process ends whatever its threads wait for: after the last step is due. */
constexpr double LimitShare = 0.97;
constexpr double Percent = 100;
/**
 * Handling one event for longer than this is logged, since all requests wait meanwhile: a tenth of the users' shortest
 * target latency.
 */
constexpr Milliseconds LongTurn{ 20 };
/** A control timer that is handled this late is logged: messages of other instances wait as long. */
constexpr Milliseconds LongDelay{ 500 };

/** Increases with each start; a process id could repeat. */
std::uint64_t newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

Node::Options nodeOptions(const Settings& settings, const Dialect& dialect)
{
    Node::Options options;
    options.name = settings.instanceName;
    options.dataCentre = settings.dataCentre;
    options.capacity = static_cast<std::uint32_t>(std::lround(settings.processorShare * Percent));
    options.peersAddress = settings.peersAddress;
    options.relayAddress = settings.relayAddress;
    options.incarnation = newIncarnation();
    options.seed = std::random_device{}();
    options.seeds = settings.seeds;
    options.retries = {
        .share = settings.retryShare, .slack = static_cast<double>(settings.retrySlack), .window = settings.retryWindow
    };
    options.quotas = { .window = settings.quotaWindow,
        .overage = settings.quotaOverage,
        .slack = static_cast<double>(settings.quotaSlack) };
    options.probesPerSecond = static_cast<double>(settings.probesPerSecond);
    options.changeKey = dialect.changeKey;
    options.translator = dialect.facts;
    return options;
}

}

Instance::Instance(const Settings& givenSettings, SettingsFile givenFile, Dialect givenDialect)
    : settings(givenSettings)
    , file(std::move(givenFile))
    , dialect(std::move(givenDialect))
    , log("instance")
    , decisions(this->clock)
    , node(nodeOptions(givenSettings, this->dialect))
    , signals(this->context)
    , controlTimer(this->context)
    , tendingTimer(this->context)
    , peerClient(this->context, this->clock, this->metrics)
    , peerServer(this->context, *this, this->metrics)
    , storeClient(this->context, givenSettings.storeAddress, *this->dialect.store, this->clock, *this)
    , traffic(givenSettings,
          { .dialect = this->dialect.traffic.get(),
              .clock = &this->clock,
              .sink = this,
              .repeats = this,
              .metrics = &this->metrics,
              .reader = this })
    , operators(givenSettings.operatorsAddress, *this, *this)
    , stop({ .lead = givenSettings.stopReadinessLead, .bound = givenSettings.stopBound })
{
    this->peerServer.setMaxSessions(connectionLimits(givenSettings.descriptors).peers);
}

void Instance::post(const Event& event)
{
    Actions actions;
    Milliseconds requestDue;
    Milliseconds controlDue;
    Milliseconds took;
    {
        const std::lock_guard lock(this->mutex);
        const Milliseconds now = this->clock.now();
        this->node.handle(event, now, actions);
        requestDue = this->node.nextRequestDue(now);
        controlDue = this->node.nextControlDue();
        took = this->clock.now() - now;
    }
    this->noteTurn(event, took);
    for (const Action& action : actions)
        std::visit([this](const auto& item) { this->execute(item); }, action);
    if (requestDue != Never)
        this->traffic.run([this, requestDue] { this->traffic.wakeAt(requestDue); });
    asio::dispatch(this->context, [this, controlDue] { this->wakeControlAt(controlDue); });
}

void Instance::noteTurn(const Event& event, Milliseconds took)
{
    this->metrics.turns.add(took);
    if (took < LongTurn)
        return;
    DecisionRecord record = knowledgeRecord("turn_took_long", this->settings.instanceName);
    this->decisions.write(record.with("on", nameOf(event)).with("took", took.count));
}

void Instance::noteDelay(Milliseconds delay)
{
    if (delay < LongDelay)
        return;
    DecisionRecord record = knowledgeRecord("control_delayed", this->settings.instanceName);
    this->decisions.write(record.with("late", delay.count));
}

void Instance::peerMessageReceived(peers::PeerMessage message)
{
    this->post(PeerMessageArrived{ .message = std::move(message) });
}

void Instance::execute(const AnswerRelay& action)
{
    this->traffic.run([this, action] { this->traffic.relayServer().execute(action); });
}

void Instance::execute(const SendToPeer& action)
{
    asio::dispatch(this->context, [this, action] { this->peerClient.send(action.address, action.message); });
}

void Instance::execute(const CallStore& action)
{
    asio::dispatch(this->context, [this, action] { this->storeClient.startCall(action.request); });
}

void Instance::execute(const TranslateItem& action)
{
    // Translated on the control thread without holding the mutex, so that requests are not delayed.
    asio::post(this->context, [this, action] {
        this->post(ItemTranslated{ .item = translateItem(*this->dialect.facts, action.item, action.source) });
    });
}

v1::Configuration Instance::configurationInForce() const
{
    const std::lock_guard lock(this->mutex);
    return configurationView(this->node.serviceTable());
}

v1::ShowLoadAnswer Instance::showLoad(const std::string& service) const
{
    const std::lock_guard lock(this->mutex);
    return this->node.showLoad(service, this->clock.now());
}

v1::ShowCrashingRequestsAnswer Instance::showCrashingRequests() const
{
    const std::lock_guard lock(this->mutex);
    return this->node.showCrashingRequests(this->clock.now());
}

v1::ShowRolloutAnswer Instance::showRollout(const std::string& service) const
{
    const std::lock_guard lock(this->mutex);
    return this->node.showRollout(service, this->clock.now());
}

v1::ShowCustomerAnswer Instance::showCustomer(const std::string& customer) const
{
    const std::lock_guard lock(this->mutex);
    return this->node.showCustomer(customer, this->clock.now());
}

v1::ShowQuotasAnswer Instance::showQuotas() const
{
    const std::lock_guard lock(this->mutex);
    return this->node.showQuotas(this->clock.now());
}

v1::ShowCountersAnswer Instance::showCounters() const
{
    const std::lock_guard lock(this->mutex);
    const Milliseconds now = this->clock.now();
    const InstanceFigures figures{ .openRequests = this->node.openRequests(),
        .suspectedRequests = this->node.crashingRequestCount(),
        .instances = this->node.instances(now),
        .isWatching = this->node.isWatching(),
        .storeRevision = this->node.storeRevision(),
        .confirmedAge = now - this->node.confirmedAt() };
    return countersOf(this->node.counters(), this->metrics, this->storeClient.counts(), figures);
}

std::string Instance::metricsText() const
{
    return writeMetrics(this->showCounters(), this->metrics);
}

bool Instance::mayRepeat(std::string_view host, std::string_view method, std::string_view path) const
{
    const std::lock_guard lock(this->mutex);
    const auto route = this->node.serviceTable().route(host, method, path);
    return route && route->repeat == Repeat::MayRepeat;
}

bool Instance::isReady() const
{
    const std::lock_guard lock(this->mutex);
    return this->node.isReady();
}

void Instance::listenFailed(std::string_view place, const NetworkAddress& address, const std::error_code& error) const
{
    this->log.error("The address " + address.text() + " cannot be used: " + error.message()
        + ". Free it or set another one in " + std::string(place) + ".");
}

std::error_code Instance::start()
{
    if (const auto error = this->peerServer.listen(this->settings.peersAddress)) {
        this->listenFailed("/listen/peers", this->settings.peersAddress, error);
        return error;
    }
    if (const auto error = this->operators.start()) {
        this->listenFailed("/listen/operators", this->settings.operatorsAddress, error);
        return error;
    }
    if (const auto error = this->traffic.start()) {
        this->listenFailed("/listen/callers, /listen/readiness or /listen/relay", this->settings.callersAddress, error);
        return error;
    }
    return {};
}

std::error_code Instance::run()
{
    if (const auto error = this->start())
        return error;
    this->log.write(Severity::Info, "started",
        "\"callers\":\"" + this->settings.callersAddress.text() + "\",\"peers\":\"" + this->settings.peersAddress.text()
            + "\",\"store\":\"" + this->settings.storeAddress.text() + "\"");
    this->signals.add(SIGTERM);
    this->signals.add(SIGINT);
    this->signals.add(SIGHUP);
    releaseSignals();
    this->awaitSignal();
    this->post(ControlTimer{});
    this->scheduleTending();
    this->context.run();
    this->closeConnections();
    this->log.info("stopped");
    this->stopLimit.setLogEnding();
    return {};
}

void Instance::closeConnections()
{
    this->stopLimit.set(this->clock.now() + ClosePatience);
    this->stopLimit.setAwaited("traffic");
    this->traffic.stop();
    this->storeClient.stop();
    this->peerClient.close();
    this->peerServer.close();
    // Last, because its connections may outlast the limit.
    this->stopLimit.setAwaited("operators");
    this->operators.stop();
}

void Instance::awaitSignal()
{
    this->signals.async_wait([this](const asio::error_code& error, int signal) {
        if (error)
            return;
        this->signalled(signal);
        this->awaitSignal();
    });
}

void Instance::signalled(int signal)
{
    if (signal == SIGHUP)
        this->reload("signal");
    else
        this->beginStop();
}

void Instance::wakeControlAt(Milliseconds due)
{
    if (due >= this->controlWakesAt)
        return;
    this->controlWakesAt = due;
    const Milliseconds planned = std::max(due, this->clock.now());
    this->controlTimer.expires_after(toDuration(planned - this->clock.now()));
    this->controlTimer.async_wait([this, planned](const asio::error_code& error) {
        if (error)
            return;
        this->noteDelay(this->clock.now() - planned);
        this->controlWakesAt = Never;
        this->post(ControlTimer{});
    });
}

void Instance::scheduleTending()
{
    const bool isStopping = this->stop.step() != StopSequence::Step::None;
    this->tendingTimer.expires_after(toDuration(isStopping ? StopInterval : TendingInterval));
    this->tendingTimer.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        this->tend();
        if (!this->context.stopped())
            this->scheduleTending();
    });
}

void Instance::tend()
{
    if (++this->tendings % TendingsPerTelling == 0)
        this->decisions.tellLeftOut();
    this->metrics.logLinesLeftOut = droppedLogLines();
    this->peerClient.closeIdleLinks();
    this->storeClient.closeExpiredConnections();
    if (this->file.hasChanged())
        this->reload("change of the file");
    this->advanceStop();
}

void Instance::reload(std::string_view cause)
{
    const SettingsResult next = this->file.read();
    if (!next.findings.empty()) {
        this->log.error(
            "The settings file has errors; the settings read before stay in force: " + next.findings.text());
        return;
    }
    setLowestSeverity(static_cast<Severity>(next.settings.logLevel));
    this->settings.logLevel = next.settings.logLevel;
    this->settings.seeds = next.settings.seeds;
    this->post(SeedsChanged{ .seeds = next.settings.seeds });
    this->log.write(Severity::Info, "reloaded",
        "\"cause\":\"" + std::string(cause) + "\",\"seeds\":" + std::to_string(next.settings.seeds.size()));
}

void Instance::beginStop()
{
    if (this->stop.step() != StopSequence::Step::None) {
        this->log.info("A stop is already in progress; it ends within its time limit.");
        return;
    }
    const Milliseconds now = this->clock.now();
    this->stop.begin(now);
    this->stopWaits.begin(now);
    this->stopLimit.setAwaited("requests");
    this->stopLimit.set(now + this->settings.stopBound * LimitShare);
    this->log.write(Severity::Info, "stopping", "\"bound\":" + std::to_string(this->settings.stopBound.count));
    this->post(StopAsked{ .times = this->stop.times() });
    this->traffic.run(
        [this] { takeStopStep(this->traffic.requestDesk().callerListener(), StopSequence::Step::Announced); });
    this->scheduleTending();
}

void Instance::advanceStop()
{
    // Read before the count itself, so that the count can only be newer than its number says.
    const std::uint64_t look = this->countedLook;
    const StopWaits::Unfinished counts{ .requests = this->metrics.openRequests + this->metrics.openRelays,
        .callers = this->metrics.unfinishedAnswers };
    const std::size_t unfinished = counts.requests + counts.callers;
    const Milliseconds now = this->clock.now();
    const StopSequence::Step step = this->stop.advance({ .unfinished = unfinished, .look = look }, now);
    if (step == StopSequence::Step::None)
        return;
    this->stopWaits.note(counts, now);
    // Counts for the next call of advance(). An answer that is still being written is unfinished work, too.
    this->traffic.run([this, step, number = this->stop.look()] {
        takeStopStep(this->traffic.requestDesk().callerListener(), step);
        this->metrics.unfinishedAnswers = workLeftFor(this->traffic.requestDesk().callerListener());
        this->countedLook = number;
    });
    if (step != StopSequence::Step::Ended)
        return;
    this->log.write(Severity::Info, "stop_waited", this->stopWaits.fields(now));
    if (unfinished)
        this->log.warning("The time limit of the stop is reached; the remaining requests are aborted.");
    this->context.stop();
}

}
