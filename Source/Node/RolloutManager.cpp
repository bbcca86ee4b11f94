#include "Node/RolloutManager.h"

#include "Node/GossipExchange.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

/** An answer that takes longer than the expected time multiplied by this is bad. */
constexpr double SlowFactor = 4;

bool countsAsEvidence(const AttemptEnd& end)
{
    return end.result != AttemptResult::Cancelled && !isProvedNotRun(end.result);
}

/** False for a server that was cold or full: it may be slow whatever its version. */
bool isVersionFault(const Flight& flight, Milliseconds now)
{
    return flight.hadRoom && !flight.server->isCold(now);
}

bool isBad(const RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now)
{
    if (end.result != AttemptResult::Answered)
        return true;
    const Milliseconds longest = request.service->expectedTime(*request.route) * SlowFactor;
    return now - flight.sentAt > longest && isVersionFault(flight, now);
}

}

Milliseconds RolloutManager::Rollout::elapsed(Milliseconds now) const
{
    return this->hasState() ? this->state->elapsed + (now - this->stateSince) : now - this->orderedAt;
}

RolloutManager::RolloutManager(const Options& givenOptions, Dependencies givenParts)
    : options(givenOptions)
    , dependencies(givenParts)
    , backoff({})
{
}

void RolloutManager::updateOrders(const ConfigurationUpdate& facts, Milliseconds now, Actions& actions)
{
    for (const RolloutOrder& order : facts.rollouts)
        this->applyOrder(order, now, actions);
    if (!facts.areAllRollouts)
        return;
    for (auto& item : this->rollouts) {
        const bool isNamed = std::any_of(facts.rollouts.begin(), facts.rollouts.end(),
            [&](const RolloutOrder& order) { return order.service == item.first; });
        RolloutOrder& order = item.second.order;
        order.isWithdrawn = order.isWithdrawn || !isNamed;
    }
    this->updateVersionRules();
}

void RolloutManager::applyOrder(const RolloutOrder& order, Milliseconds now, Actions& actions)
{
    Rollout& rollout = this->rollouts[order.service];
    if (order.number < rollout.order.number || order == rollout.order)
        return;
    if (order.number > rollout.order.number && !order.isWithdrawn) {
        rollout.orderedAt = now;
        rollout.own.clear();
        rollout.fleet = {};
        rollout.lastReports.clear();
    }
    rollout.order = order;
    actions.emplace_back(knowledgeRecord(order.isWithdrawn ? "rollout_withdrawn" : "rollout_ordered", order.service)
                             .with("new_version", order.targetVersion)
                             .with("duration", order.duration.count)
                             .with("order", order.number));
    this->updateVersionRules();
}

void RolloutManager::stateChanged(const StoreItem& item, Milliseconds now, Actions& actions)
{
    const std::string service = item.key.substr(std::string_view(RolloutPrefix).size());
    Rollout& rollout = this->rollouts[service];
    rollout.state = item.removed ? std::nullopt : readRolloutState(item.value);
    rollout.stateRevision = item.revision;
    rollout.stateSince = now;
    this->updateVersionRules();
    this->scheduleReport(now);
    if (!rollout.state)
        return;
    actions.emplace_back(
        knowledgeRecord("rollout_state", service)
            .with("new_version", rollout.state->targetVersion)
            .with("phase", rollout.state->phase == RolloutPhase::Moved ? "moved" : nameOf(rollout.state->phase))
            .with("share", rollout.state->share)
            .with("elapsed", rollout.state->elapsed.count)
            .with("revision", item.revision));
}

VersionRule RolloutManager::ruleOf(const Rollout& rollout, const ServiceState& service) const
{
    VersionRule rule{ .use = VersionRule::Use::All, .target = rollout.order.targetVersion };
    if (rollout.state && rollout.state->phase == RolloutPhase::RolledBack && !rollout.hasState())
        // An earlier order was rolled back. Servers of that version get no requests as long as they exist.
        return { .use = VersionRule::Use::Usual, .target = rollout.state->targetVersion };
    if (rollout.hasState()) {
        rule.target = rollout.state->targetVersion;
        rule.share = rollout.state->share;
        const bool isFullyMoved = rollout.state->phase == RolloutPhase::Moved
            || (rollout.state->phase == RolloutPhase::Completed && rollout.isOrdered());
        if (isFullyMoved)
            rule.use = VersionRule::Use::Target;
        else if (rollout.state->phase == RolloutPhase::RolledBack)
            rule.use = VersionRule::Use::Usual;
        else if (rollout.state->phase == RolloutPhase::Trying)
            rule.use = rollout.isOrdered() ? VersionRule::Use::Shared : VersionRule::Use::Usual;
        return rule;
    }
    // Ordered but not started yet: the present version keeps all requests.
    const auto servers = service.pool.servers();
    const bool hasUsual = std::any_of(servers.begin(), servers.end(),
        [&](const auto& server) { return server->record().version != rule.target && server->takesNewRequests(); });
    if (rollout.isOrdered() && hasUsual)
        rule.use = VersionRule::Use::Usual;
    return rule;
}

void RolloutManager::updateVersionRules()
{
    for (const auto& [name, rollout] : this->rollouts) {
        if (const auto service = this->dependencies.services->byName(name)) {
            const VersionRule rule = this->ruleOf(rollout, *service);
            if (rule == service->pool.versionRule())
                continue;
            // A random start on each instance keeps the share even when every instance has only a few requests.
            service->targetShareSum = this->dependencies.random->unit();
            service->pool.setVersionRule(rule);
        }
    }
}

bool RolloutManager::selectTarget(ServiceState& service) const
{
    const VersionRule& rule = service.pool.versionRule();
    if (rule.use != VersionRule::Use::Shared)
        return false;
    service.targetShareSum += rule.share;
    if (service.targetShareSum < 1)
        return false;
    service.targetShareSum -= 1;
    return true;
}

void RolloutManager::answered(
    const RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now)
{
    if (countsAsEvidence(end))
        this->count(request, flight, isBad(request, flight, end, now), now);
}

void RolloutManager::overtaken(const RequestState& request, const Flight& flight, Milliseconds now)
{
    // Otherwise hedging would hide a slow version.
    if (isVersionFault(flight, now))
        this->count(request, flight, true, now);
}

void RolloutManager::count(const RequestState& request, const Flight& flight, bool isBadAnswer, Milliseconds now)
{
    const auto found = this->rollouts.find(request.service->description.name);
    if (found == this->rollouts.end() || !found->second.isOrdered())
        return;
    Rollout& rollout = found->second;
    const bool isTarget = flight.server->record().version == rollout.order.targetVersion;
    VersionCounts& counts = rollout.own[request.route->name];
    AnswerCounts& version = isTarget ? counts.target : counts.usual;
    ++version.all;
    if (!isBadAnswer)
        return;
    ++version.bad;
    if (isTarget)
        this->scheduleReport(now);
}

void RolloutManager::scheduleReport(Milliseconds now)
{
    this->reportAt = std::min(this->reportAt, now + this->options.reportDelay);
}

std::uint32_t RolloutManager::inFlightAtOldVersion(const Rollout& rollout, const std::string& service) const
{
    const auto found = this->dependencies.services->byName(service);
    if (!found)
        return 0;
    std::size_t sum = 0;
    for (const auto& server : found->pool.servers())
        sum += server->record().version != rollout.order.targetVersion ? server->inFlight() : 0;
    return static_cast<std::uint32_t>(sum);
}

void RolloutManager::appendEvidence(Messages& messages) const
{
    for (const auto& [service, rollout] : this->rollouts) {
        const bool isOver = rollout.hasState() && rollout.state->isOver();
        if (!rollout.isOrdered() || isOver)
            continue;
        peers::RolloutEvidence& message = *messages.Add();
        message.set_service(service);
        message.set_order(rollout.order.number);
        message.set_under_way(this->inFlightAtOldVersion(rollout, service));
        message.set_state_revision(rollout.stateRevision);
        for (const auto& [route, counts] : rollout.own) {
            peers::RouteEvidence& evidence = *message.add_routes();
            evidence.set_route(route);
            evidence.set_usual_answers(counts.usual.all);
            evidence.set_usual_bad(counts.usual.bad);
            evidence.set_target_answers(counts.target.all);
            evidence.set_target_bad(counts.target.bad);
        }
    }
}

void RolloutManager::receive(const peers::Incarnation& from, const Messages& messages, Milliseconds now)
{
    for (const peers::RolloutEvidence& message : messages) {
        const auto found = this->rollouts.find(message.service());
        if (found == this->rollouts.end() || found->second.order.number != message.order())
            continue;
        CountsByRoute counts;
        for (const peers::RouteEvidence& evidence : message.routes())
            counts[evidence.route()] = { .usual = { .all = evidence.usual_answers(), .bad = evidence.usual_bad() },
                .target = { .all = evidence.target_answers(), .bad = evidence.target_bad() } };
        found->second.fleet.recordCounts(from.name(), from.number(), counts);
        found->second.lastReports[from.name()]
            = { .at = now, .stateRevision = message.state_revision(), .inFlight = message.under_way() };
    }
}

v1::ShowRolloutAnswer RolloutManager::show(const std::string& service, Milliseconds now) const
{
    v1::ShowRolloutAnswer answer;
    const auto found = this->rollouts.find(service);
    if (found == this->rollouts.end() || !found->second.isOrdered()) {
        v1::Finding* finding = answer.add_findings();
        finding->set_place("/service");
        finding->set_message("there is no roll-out of \"" + service + "\"; begin one first");
        return answer;
    }
    const Rollout& rollout = found->second;
    VersionCounts total = rollout.fleet.total();
    if (!total.usual.all && !total.target.all) {
        for (const auto& [route, counts] : rollout.own)
            total = total + counts;
    }
    answer.set_service(service);
    answer.set_new_version(rollout.order.targetVersion);
    answer.set_state(rollout.hasState() ? std::string(nameOf(rollout.state->phase)) : "ordered");
    answer.set_share(rollout.hasState() ? rollout.state->share : 0);
    answer.set_elapsed_milliseconds(static_cast<std::uint32_t>(std::max(0.0, rollout.elapsed(now).count)));
    answer.set_duration_milliseconds(static_cast<std::uint32_t>(rollout.order.duration.count));
    answer.set_usual_answers(total.usual.all);
    answer.set_usual_bad(total.usual.bad);
    answer.set_target_answers(total.target.all);
    answer.set_target_bad(total.target.bad);
    return answer;
}

double RolloutManager::targetCapacityOf(const Rollout& rollout, const std::string& service) const
{
    const auto found = this->dependencies.services->byName(service);
    if (!found)
        return 0;
    double target = 0;
    double usual = 0;
    for (const auto& server : found->pool.servers()) {
        if (server->takesNewRequests())
            (server->record().version == rollout.order.targetVersion ? target : usual) += server->slots();
    }
    return target / std::max(usual, 1.0);
}

bool RolloutManager::isOldIdle(const Rollout& rollout, const std::string& service, Milliseconds now) const
{
    if (this->inFlightAtOldVersion(rollout, service))
        return false;
    const auto& members = this->dependencies.gossip->knownInstances();
    return std::all_of(members.begin(), members.end(), [&](const KnownMember& known) {
        if (now - known.heardAt > this->options.silentAfter)
            return true;
        const auto report = rollout.lastReports.find(known.member.incarnation().name());
        return report != rollout.lastReports.end() && report->second.stateRevision >= rollout.stateRevision
            && !report->second.inFlight;
    });
}

StoreRequest RolloutManager::write(std::string key, std::string value)
{
    const StoreItem* stored = this->dependencies.store->view().find(key);
    StoreRequest request;
    request.number = this->dependencies.storeCalls->next();
    request.operation = StoreOperation::Write;
    request.key = key;
    request.value = value;
    request.expected = stored && !stored->removed ? stored->revision : 0;
    request.timeout = this->options.answerTimeout;
    this->pending = request.number;
    this->pendingItem = { .key = std::move(key), .value = std::move(value) };
    return request;
}

std::optional<StoreRequest> RolloutManager::nextCallFor(const std::string& service, Rollout& rollout, Milliseconds now)
{
    const std::string key = RolloutPrefix + service;
    if (!rollout.hasState())
        return this->write(key,
            writeRolloutState({ .targetVersion = rollout.order.targetVersion,
                .order = rollout.order.number,
                .elapsed = rollout.elapsed(now) }));
    const StoreItem status = this->dependencies.translator->rolloutStatus(service, *rollout.state);
    const StoreItem* shown = this->dependencies.store->view().find(status.key);
    const bool isShown = status.key.empty() || (shown && !shown->removed && shown->value == status.value);
    if (!isShown)
        return this->write(status.key, status.value);
    rollout.fleet.recordCounts(this->options.self.name(), this->options.self.number(), rollout.own);
    const VersionCounts& total = rollout.fleet.total();
    const auto next = RolloutPlan::next(*rollout.state,
        { .elapsed = rollout.elapsed(now),
            .duration = std::max(rollout.order.duration, Second),
            .isBad = rollout.fleet.isBad(),
            .targetAnswers = total.target.all,
            .allAnswers = total.target.all + total.usual.all,
            .capacity = this->targetCapacityOf(rollout, service),
            .isOldIdle = this->isOldIdle(rollout, service, now) });
    return next ? std::optional(this->write(key, writeRolloutState(*next))) : std::nullopt;
}

std::optional<StoreRequest> RolloutManager::nextStoreCall(Milliseconds now)
{
    if (this->pending || now < this->nextEvaluationAt)
        return std::nullopt;
    this->nextEvaluationAt = now + this->options.evaluationInterval;
    if (!this->dependencies.gossip->isLeadingWatcher(now))
        return std::nullopt;
    for (auto& [service, rollout] : this->rollouts) {
        if (!rollout.isOrdered())
            continue;
        if (auto request = this->nextCallFor(service, rollout, now))
            return request;
    }
    return std::nullopt;
}

bool RolloutManager::answered(const StoreAnswer& answer, Milliseconds now)
{
    if (!this->pending || answer.number != this->pending)
        return false;
    this->pending = 0;
    if (answer.status != StoreStatus::Done) {
        // Before the next try, the watch delivers the current item: after a conflict another instance's, after a lost
        // answer possibly the one written here.
        this->nextEvaluationAt = now + this->backoff.next(*this->dependencies.random);
        return true;
    }
    this->backoff.reset();
    this->nextEvaluationAt = now;
    this->pendingItem.revision = answer.at;
    this->written = std::move(this->pendingItem);
    return true;
}

Milliseconds RolloutManager::nextDue() const
{
    const bool anyRunning = std::any_of(this->rollouts.begin(), this->rollouts.end(), [](const auto& item) {
        const Rollout& rollout = item.second;
        return rollout.isOrdered() && !(rollout.hasState() && rollout.state->isOver());
    });
    const bool mayWrite = anyRunning && this->dependencies.store->isWatching() && !this->pending;
    return std::min(this->reportAt, mayWrite ? this->nextEvaluationAt : Never);
}

}
