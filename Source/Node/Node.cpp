#include "Node/Node.h"

#include "Node/KnowledgeRecords.h"
#include "Node/NodeComponentOptions.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

/** A copy of the store that was not confirmed for this long is logged and counted as stale. */
constexpr Milliseconds StaleAfter{ 3000 };

/** For a larger batch, such as the first read of the store, one summary line replaces the lines per item. */
constexpr std::size_t MaxLinesPerBatch = 50;

}

Node::Node(const Options& givenOptions)
    : options(givenOptions)
    , random(givenOptions.seed)
    , notices({})
    , limitRegistry({})
    , services({ .policies = policiesOf(givenOptions),
                   .retries = givenOptions.retries,
                   .notices = &this->notices,
                   .limits = &this->limitRegistry },
          this->random)
    , signs({}, this->notices, this->services)
    , pauses({}, { .book = &this->notices, .services = &this->services, .random = &this->random })
    , crashes({ .table = { .instance = givenOptions.name } }, this->decisionCounters)
    , crashRecorder(this->storeCalls, this->random)
    , fleetSizeRecorder(this->storeCalls, this->random)
    , store(readerOf(givenOptions), *this, this->storeCalls, this->random, this->decisionCounters)
    , gossip({ .self = memberOf(givenOptions),
                 .seeds = givenOptions.seeds,
                 .watcherSelection = { .ownName = givenOptions.name, .ownCapacity = givenOptions.capacity },
                 .tree = { .origin = givenOptions.name, .dataCentre = givenOptions.dataCentre } },
          { .store = &this->store,
              .signs = &this->signs,
              .crashes = &this->crashes,
              .rollouts = &this->rollouts,
              .limits = &this->limits,
              .random = &this->random,
              .counters = &this->decisionCounters })
    , quotas({ .self = memberOf(givenOptions), .bound = givenOptions.quotas },
          { .services = &this->services,
              .store = &this->store,
              .gossip = &this->gossip,
              .storeCalls = &this->storeCalls,
              .random = &this->random,
              .counters = &this->decisionCounters })
    , rollouts({ .self = memberOf(givenOptions).incarnation() },
          { .services = &this->services,
              .store = &this->store,
              .gossip = &this->gossip,
              .translator = givenOptions.translator.get(),
              .storeCalls = &this->storeCalls,
              .random = &this->random })
    , limits({ .self = memberOf(givenOptions) },
          { .book = &this->limitRegistry,
              .services = &this->services,
              .gossip = &this->gossip,
              .random = &this->random,
              .counters = &this->decisionCounters })
    , paths({ .seed = givenOptions.seed,
                .relays = { .instance = givenOptions.name, .dataCentre = givenOptions.dataCentre } },
          { .services = &this->services, .counters = &this->decisionCounters })
    , probes({ .fleetPerSecond = givenOptions.probesPerSecond, .dataCentre = givenOptions.dataCentre }, this->random)
    , flow(flowOf(givenOptions),
          { .services = &this->services,
              .probes = &this->probes,
              .random = &this->random,
              .counters = &this->decisionCounters,
              .store = &this->store,
              .crashes = &this->crashes,
              .quotas = &this->quotas,
              .rollouts = &this->rollouts,
              .limits = &this->limits,
              .paths = &this->paths })
    , changes(
          { .instanceName = givenOptions.name, .key = givenOptions.changeKey }, *this, this->storeCalls, this->random)
{
}

void Node::handle(const Event& event, Milliseconds now, Actions& actions)
{
    std::visit([&](const auto& item) { this->dispatch(item, now, actions); }, event);
    this->shareLeavingSigns(now, actions);
    this->shareLimits(now, actions);
    this->applyPathChanges(now, actions);
    this->shareCrashes(now, actions);
    this->recordFleetSize(now, actions);
    if (now >= this->rollouts.nextReportAt()) {
        this->rollouts.reportSent();
        this->gossip.notifyWatchers(now, actions);
    }
    for (AnswerChange& answer : this->pendingChangeAnswers)
        actions.emplace_back(std::move(answer));
    this->pendingChangeAnswers.clear();
}

void Node::dispatch(const RequestArrived& event, Milliseconds now, Actions& actions)
{
    this->flow.arrived(event, now, actions);
}

void Node::dispatch(const RefusedEarly& event, Milliseconds, Actions& actions)
{
    this->decisionCounters.add(event.reason);
    this->decisionCounters.add(DecisionCount::RefusedNotRun);
    if (event.caller.empty())
        return;
    DecisionRecord record{ .topic = RecordTopic::Refusal, .event = "request_not_read", .subject = "", .fields = {} };
    actions.emplace_back(record.with("reason", nameOf(event.reason)).with("caller", event.caller));
}

void Node::dispatch(const CallerGone& event, Milliseconds now, Actions& actions)
{
    this->flow.callerGone(event, now, actions);
}

void Node::dispatch(const AnswerBegun& event, Milliseconds now, Actions& actions)
{
    this->flow.answerBegun(event, now, actions);
}

void Node::dispatch(const AttemptEnded& event, Milliseconds now, Actions& actions)
{
    const auto server = this->flow.attemptEnded(event, now, actions);
    if (server && event.end.result == AttemptResult::OtherServer)
        this->crashes.handleServerReplaced(server->id(), now, actions);
}

void Node::dispatch(const ServerNoticed& event, Milliseconds now, Actions& actions)
{
    if (event.notice.isLeaving)
        this->signs.addOwn(event.backendServer, event.life, now);
    this->limits.handleNotice(event, now, actions);
    if (!this->pauses.handleNotice(event, now))
        return;
    this->decisionCounters.add(DecisionCount::PausesAsked);
    actions.emplace_back(knowledgeRecord("pause_asked", event.backendServer).with("lasts", event.notice.pause.count));
    actions.emplace_back(StopSendingTo{ .backendServer = event.backendServer, .keepsConnections = true });
    // Requests for which this was the only usable server may now have to be refused.
    this->flow.capacityChanged(now, actions);
}

void Node::dispatch(const UnreadFieldSeen& event, Milliseconds, Actions& actions)
{
    actions.emplace_back(knowledgeRecord("answer_field_unread", event.backendServer)
                             .with("field", event.field)
                             .with("value", event.value));
}

void Node::dispatch(const ProbeEnded& event, Milliseconds now, Actions& actions)
{
    const auto server = this->probes.ended(event.probe);
    if (!server)
        return;
    if (event.end.load)
        server->updateLoad(*event.end.load, now);
    if (event.end.coldRemaining)
        server->setColdFor(*event.end.coldRemaining, now);
    if (event.end.isOtherServer) {
        server->markReplaced();
        this->crashes.handleServerReplaced(server->id(), now, actions);
    }
    if (!event.end.isAnswered) {
        this->decisionCounters.add(DecisionCount::ProbesFailed);
        server->probeFailed();
    }
    this->flow.loadReportArrived(*server, now, actions);
}

void Node::dispatch(const ServerChecked& event, Milliseconds now, Actions& actions)
{
    this->paths.checkEnded(event, now, actions);
}

void Node::dispatch(const RelayAsked& event, Milliseconds, Actions& actions)
{
    this->paths.relayAsked(event, this->stopping, actions);
}

void Node::dispatch(const RelayConnectFailed& event, Milliseconds now, Actions& actions)
{
    this->paths.relayFailed(event, now, actions);
}

void Node::applyPathChanges(Milliseconds now, Actions& actions)
{
    for (const ServerChecked& finding : this->paths.takeFindings())
        this->crashes.handleServerCheck(finding, now, actions);
    for (const std::string& server : this->paths.applyChanges(now, actions))
        this->flow.pathLost(server, now);
    // Sent with the next regular messages: when servers crash, all instances of a large fleet would report at once.
    this->gossip.setUnreachedServices(this->paths.unreachedServices());
}

void Node::shareLeavingSigns(Milliseconds now, Actions& actions)
{
    const std::vector<LeavingServer> found = this->signs.takeNewlyLeaving();
    if (found.empty())
        return;
    bool hasOwnNotice = false;
    for (const LeavingServer& server : found) {
        hasOwnNotice = hasOwnNotice || server.isFromServer;
        actions.emplace_back(knowledgeRecord("leaving_sign", server.backendServer)
                                 .with("heard_from", server.isFromServer ? "server" : "news")
                                 .with("confirmed_age", (now - this->store.confirmedAt()).count));
        // Attempts that were assigned to this server but not yet written are sent to another one.
        actions.emplace_back(StopSendingTo{ .backendServer = server.backendServer });
    }
    if (hasOwnNotice || this->store.isWatching())
        this->gossip.notifyOthers(now, actions);
    // Requests that wait for one of these servers need another server or must be refused.
    this->flow.capacityChanged(now, actions);
}

void Node::shareLimits(Milliseconds now, Actions& actions)
{
    if (now >= this->limits.nextReportAt()) {
        this->limits.reportSent();
        this->gossip.notifyOthers(now, actions);
    }
    if (this->limits.takeChanged())
        this->flow.capacityChanged(now, actions);
}

void Node::dispatch(const PeerMessageArrived& event, Milliseconds now, Actions& actions)
{
    if (event.message.has_permit_ask() || event.message.has_permit_answer())
        return this->limits.receive(event.message, now, actions);
    if (event.message.has_credit_ask() || event.message.has_credit_answer()) {
        this->quotas.receive(event.message, now, actions);
        return this->flow.creditDecided(now, actions);
    }
    this->paths.receive(event.message, now);
    this->gossip.receive(event.message, now, actions);
    this->callStore(now, actions);
}

StoreAnswer Node::withoutSecrets(const StoreAnswer& answer) const
{
    StoreAnswer cleared = answer;
    for (StoreItem& item : cleared.items) {
        if (auto value = this->options.translator->withoutSecrets(item))
            item.value = std::move(*value);
    }
    return cleared;
}

void Node::dispatch(const StoreAnswered& event, Milliseconds now, Actions& actions)
{
    const bool isForWriters = this->changes.answered(event.answer, now)
        || this->crashRecorder.answered(event.answer, now) || this->fleetSizeRecorder.answered(event.answer, now)
        || this->quotas.answered(event.answer, now) || this->rollouts.answered(event.answer, now);
    if (!isForWriters && this->store.answered(this->withoutSecrets(event.answer), now, actions)
        && this->store.isWatching())
        this->gossip.broadcastUpdate(now, actions);
    if (this->store.hasFailed())
        this->gossip.storeCallFailed();
    this->gossip.announceFirstView(now, actions);
    if (const auto written = this->changes.takeWritten())
        this->store.applyWritten(*written, now, actions);
    if (const auto written = this->crashRecorder.takeWritten())
        this->store.applyWritten(*written, now, actions);
    if (const auto written = this->fleetSizeRecorder.takeWritten())
        this->store.applyWritten(*written, now, actions);
    if (const auto written = this->quotas.takeWritten())
        this->store.applyWritten(*written, now, actions);
    if (const auto written = this->rollouts.takeWritten())
        this->store.applyWritten(*written, now, actions);
    this->callStore(now, actions);
}

void Node::dispatch(const SeedsChanged& event, Milliseconds, Actions&)
{
    this->gossip.setSeeds(event.seeds);
}

void Node::dispatch(const ChangeAsked& event, Milliseconds now, Actions& actions)
{
    this->changes.start(event.call, event.request, now);
    this->callStore(now, actions);
}

void Node::dispatch(const InForceAsked& event, Milliseconds now, Actions& actions)
{
    this->gossip.requestMembers(event.call, now, actions);
}

void Node::dispatch(const StopAsked& event, Milliseconds now, Actions& actions)
{
    // Only new requests stop: requests still running here must not act on stale data, so store updates continue.
    this->stopping = true;
    this->flow.beginStop(event.times, now, actions);
    this->callStore(now, actions);
}

void Node::dispatch(const RequestTimer&, Milliseconds now, Actions& actions)
{
    this->flow.tick(now, actions);
}

void Node::dispatch(const ControlTimer&, Milliseconds now, Actions& actions)
{
    this->gossip.tick(now, actions);
    this->crashes.tick(now);
    this->paths.tick(now, actions);
    for (const BackendServerChange& change : this->services.removeExpiredLapses(now))
        actions.emplace_back(this->handleBackendServerChange(change, now, actions).with("heard_from", "nobody"));
    this->fleetSize.counted(this->gossip.instances(now), now);
    this->updateFleetSize(now, actions);
    this->callStore(now, actions);
    this->logStaleness(now, actions);
}

void Node::updateFleetSize(Milliseconds now, Actions& actions)
{
    const FleetCount count{ .largest = this->fleetSize.largest(), .atLeast = this->fleetSize.atLeast(now) };
    if (count != this->fleetCount) {
        DecisionRecord record = knowledgeRecord("fleet_size_changed", this->options.name);
        record.with("known", std::uint64_t{ this->gossip.instances(now) })
            .with("recorded", std::uint64_t{ this->fleetSize.recorded() });
        if (count.atLeast)
            record.with("at_least", std::uint64_t{ *count.atLeast });
        actions.emplace_back(std::move(record));
        this->fleetCount = count;
    }
    this->services.setInstances(count);
    this->quotas.setInstances(count.atLeast);
    this->limits.tick(count.atLeast, now);
    this->probes.setFleet(count.largest, this->services.dataCentres());
    if (const auto wanted = this->fleetSize.toRecord(now))
        this->fleetSizeRecorder.update(*wanted, this->fleetSize.recorded(), now);
}

void Node::recordFleetSize(Milliseconds now, Actions& actions)
{
    const auto wanted = this->fleetSize.toRecord(now);
    // Until the store was first read, its current value of this item is unknown and must not be overwritten.
    if (!wanted || !this->fleetSizeRecorder.isDue(now) || !this->store.view().revision())
        return;
    auto request = this->fleetSizeRecorder.nextWrite(
        *wanted, this->store.view().find(FleetSizeKey), this->gossip.isLeadingWatcher(now), now);
    if (request)
        actions.emplace_back(CallStore{ .request = std::move(*request) });
}

void Node::callStore(Milliseconds now, Actions& actions)
{
    this->store.callIfDue(this->gossip.shouldWatch(now), now, actions);
    while (auto request = this->changes.next(now))
        actions.emplace_back(CallStore{ .request = std::move(*request) });
    while (auto request = this->quotas.nextStoreCall(this->stopping, now))
        actions.emplace_back(CallStore{ .request = std::move(*request) });
    this->quotas.addStateRecords(actions);
    if (auto request = this->rollouts.nextStoreCall(now))
        actions.emplace_back(CallStore{ .request = std::move(*request) });
    this->logWatching(actions);
}

void Node::shareCrashes(Milliseconds now, Actions& actions)
{
    this->crashes.startSecondChecks(now, actions);
    if (now >= this->crashes.nextReportAt()) {
        this->crashes.reportSent(now);
        this->gossip.notifyOthers(now, actions);
    }
    if (this->crashes.takeStoreRecordChanged())
        this->crashRecorder.scheduleCheck(now);
    // Until the store was first read, its current value of this item is unknown and must not be overwritten.
    if (!this->crashRecorder.isDue(now) || !this->store.view().revision())
        return;
    auto request = this->crashRecorder.nextWrite(this->crashes.makeStoreRecord(now),
        this->store.view().find(CrashesKey), this->gossip.isLeadingWatcher(now), now);
    if (request)
        actions.emplace_back(CallStore{ .request = std::move(*request) });
}

void Node::applyStoredCrashes(const StoreItem& item, Milliseconds now, Actions& actions)
{
    if (item.removed)
        return;
    if (const auto kept = readCrashRecord(item.value))
        return this->crashes.mergeStoreRecord(*kept, now, actions);
    actions.emplace_back(knowledgeRecord("item_unreadable", item.key)
                             .with("problem", "value was not written by an instance; it will be overwritten")
                             .with("revision", item.revision));
}

void Node::applyStoredFleetSize(const StoreItem& item, Milliseconds now, Actions& actions)
{
    const auto size = item.removed ? std::optional<std::size_t>(0) : readFleetSize(item.value);
    if (size)
        return this->fleetSize.setRecorded(*size, now);
    actions.emplace_back(knowledgeRecord("item_unreadable", item.key)
                             .with("problem", "value is not a number; it will be overwritten")
                             .with("revision", item.revision));
}

void Node::logWatching(Actions& actions)
{
    if (this->store.isWatching() == this->wasWatching)
        return;
    this->wasWatching = this->store.isWatching();
    actions.emplace_back(knowledgeRecord(this->wasWatching ? "watch_started" : "watch_ended", this->options.name)
                             .with("revision", this->store.view().revision()));
}

void Node::logStaleness(Milliseconds now, Actions& actions)
{
    const bool isStale = now - this->store.confirmedAt() > StaleAfter;
    if (isStale == this->wasStale)
        return;
    this->wasStale = isStale;
    if (isStale)
        this->decisionCounters.add(DecisionCount::StaleSpells);
    actions.emplace_back(knowledgeRecord(isStale ? "knowledge_stale" : "knowledge_current", this->options.name)
                             .with("revision", this->store.view().revision())
                             .with("confirmed_age", (now - this->store.confirmedAt()).count));
}

Milliseconds Node::nextControlDue() const
{
    Milliseconds due = std::min({ this->gossip.nextDue(), this->changes.nextDue(), this->services.nextLapseExpiry(),
        this->crashes.nextDue(), this->quotas.nextControlDue(), this->rollouts.nextDue(), this->limits.nextReportAt(),
        this->paths.nextDue() });
    const bool hasView = this->store.view().revision() != 0;
    if (this->store.isWatching() || !hasView)
        due = std::min(due, this->store.nextAt());
    // These wait for the first read of the store.
    if (hasView)
        due = std::min({ due, this->crashRecorder.nextDue(), this->fleetSizeRecorder.nextDue() });
    return due;
}

void Node::itemsChanged(std::span<const StoreItem> items, ChangeSource source, Milliseconds now, Actions& actions)
{
    this->isLargeBatch = items.size() > MaxLinesPerBatch;
    for (const StoreItem& item : items) {
        if (item.key == CrashesKey)
            this->applyStoredCrashes(item, now, actions);
        else if (item.key == FleetSizeKey)
            this->applyStoredFleetSize(item, now, actions);
        else if (this->quotas.itemChanged(item, now))
            actions.emplace_back(grantorRecord(item, source));
        else if (item.key.starts_with(RolloutPrefix))
            this->rollouts.stateChanged(item, now, actions);
        else if (item.value.size() < LargeValueBytes)
            this->apply(*translateItem(*this->options.translator, item, source), now, actions);
        else
            actions.emplace_back(TranslateItem{ .item = item, .source = source });
    }
    if (this->isLargeBatch) {
        actions.emplace_back(knowledgeRecord("items_changed", this->options.name)
                                 .with("items", std::uint64_t{ items.size() })
                                 .with("heard_from", nameOf(source))
                                 .with("backend_servers", std::uint64_t{ this->services.backendServers() }));
    }
    this->isLargeBatch = false;
    this->flow.capacityChanged(now, actions);
}

void Node::dispatch(const ItemTranslated& event, Milliseconds now, Actions& actions)
{
    this->apply(*event.item, now, actions);
    this->flow.capacityChanged(now, actions);
}

void Node::apply(const TranslatedItem& item, Milliseconds now, Actions& actions)
{
    for (const Finding& finding : item.facts.findings.all()) {
        this->decisionCounters.add(DecisionCount::ConfigurationsUnreadable);
        actions.emplace_back(knowledgeRecord("item_unreadable", item.key)
                                 .with("place", finding.place)
                                 .with("problem", finding.message)
                                 .with("revision", item.revision));
    }
    // Large items are translated asynchronously, so a later small one may already have been applied.
    const bool isOvertaken = item.routing && item.revision < this->routingRevision;
    if (item.routing && !isOvertaken)
        this->applyRouting(item, now, actions);
    if (isOvertaken)
        return;
    this->applyDataCentres(item, now, actions);
    this->applyBackendServers(item, now, actions);
    this->rollouts.updateOrders(item.facts, now, actions);
    this->rollouts.updateVersionRules();
}

void Node::applyRouting(const TranslatedItem& item, Milliseconds now, Actions& actions)
{
    const CallerLimits before = this->services.current().callerLimits;
    const bool isFirst = !this->services.isConfigured();
    const RoutingConfiguration& next = item.routing->configuration;
    this->services.setRouting(item.routing);
    this->routingRevision = item.revision;
    this->decisionCounters.add(DecisionCount::ConfigurationsAdopted);
    if (isFirst || before != next.callerLimits)
        actions.emplace_back(SetCallerLimits{ .limits = next.callerLimits });
    addSplitRouteRecords(next, MaxLinesPerBatch, actions);
    actions.emplace_back(knowledgeRecord("configuration_in_force", item.key)
                             .with("version", next.version)
                             .with("revision", item.revision)
                             .with("routes", std::uint64_t{ next.routes.size() })
                             .with("services", std::uint64_t{ next.services.size() })
                             .with("bytes", std::uint64_t{ item.bytes })
                             .with("heard_from", nameOf(item.source))
                             .with("confirmed_age", (now - this->store.confirmedAt()).count));
}

void Node::applyDataCentres(const TranslatedItem& item, Milliseconds now, Actions& actions)
{
    for (const DataCentreOrder& order : this->services.setDataCentres(item.facts, now)) {
        actions.emplace_back(
            knowledgeRecord(order.emptied ? "data_centre_emptied" : "data_centre_in_use", order.dataCentre)
                .with("revision", item.revision)
                .with("heard_from", nameOf(item.source))
                .with("confirmed_age", (now - this->store.confirmedAt()).count));
        if (!order.emptied)
            continue;
        // Attempts that are still connecting to this data centre are sent elsewhere.
        for (const std::string& id : this->services.backendServersIn(order.dataCentre))
            actions.emplace_back(StopSendingTo{ .backendServer = id });
    }
}

void Node::applyBackendServers(const TranslatedItem& item, Milliseconds now, Actions& actions)
{
    const Milliseconds lapseDeadline = this->store.lapseDeadline(now);
    for (const BackendServerChange& change : this->services.setBackendServers(item.facts, lapseDeadline, now)) {
        if (this->isLargeBatch && change.kind == BackendServerChange::Kind::Added)
            continue;
        actions.emplace_back(this->handleBackendServerChange(change, now, actions)
                                 .with("revision", item.revision)
                                 .with("heard_from", nameOf(item.source)));
    }
}

DecisionRecord Node::handleBackendServerChange(const BackendServerChange& change, Milliseconds now, Actions& actions)
{
    // A restart closes existing connections just as a removal does.
    const bool isOver = change.kind == BackendServerChange::Kind::Gone
        || change.kind == BackendServerChange::Kind::Unusable || change.kind == BackendServerChange::Kind::Restarted;
    if (isOver) {
        this->probes.forget(change.record.id);
        this->paths.forget(change.record.id);
        this->crashes.handleServerReplaced(change.record.id, now, actions);
    }
    if (isOver || change.kind == BackendServerChange::Kind::Draining)
        actions.emplace_back(StopSendingTo{ .backendServer = change.record.id });
    return knowledgeRecord(nameOf(change.kind), change.record.id)
        .with("service", change.record.service)
        .with("address", change.record.address.text())
        .with("confirmed_age", (now - this->store.confirmedAt()).count);
}

void Node::changeAnswered(OperatorCallNumber call, const v1::ChangeAnswer& answer)
{
    this->pendingChangeAnswers.push_back({ .call = call, .answer = answer });
}

bool Node::isReady() const
{
    // The store view must be complete: a change received on its own may arrive before others, such as an order that
    // empties a data centre.
    return !this->stopping && this->services.isConfigured() && this->store.view().revision();
}

}
