#include "Node/PathManager.h"

#include "Base/Hash.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

/** True when the server, or another one at its address, has answered. */
bool isAnswer(AttemptResult result)
{
    return result == AttemptResult::Answered || result == AttemptResult::ErrorAnswer
        || result == AttemptResult::RefusedNotRun || result == AttemptResult::OtherServer;
}

}

PathManager::PathManager(Options givenOptions, Dependencies givenParts)
    : options(std::move(givenOptions))
    , dependencies(givenParts)
    , random(this->options.seed)
    , monitor(this->options.paths)
    , relays(this->options.relays)
{
}

std::optional<NetworkAddress> PathManager::relayFor(const BackendServerState& server, Milliseconds now) const
{
    if (!this->monitor.isLost(server.record()))
        return std::nullopt;
    return this->relays.choose(server.record(), this->random, now);
}

DecisionRecord PathManager::withEvidence(DecisionRecord record, const std::string& service, Milliseconds now) const
{
    const ServiceEvidence evidence = this->monitor.evidence(service);
    record.with("paths_lost", std::uint64_t{ evidence.lost })
        .with("servers_down", std::uint64_t{ evidence.down })
        .with("servers_unknown", std::uint64_t{ evidence.unknown })
        .with("relays_known", std::uint64_t{ this->relays.candidateCount() })
        .with("relays_reaching", std::uint64_t{ this->relays.countReaching(service, now) });
    return record;
}

std::size_t PathManager::sizeOf(const std::string& name) const
{
    const auto service = this->dependencies.services->byName(name);
    if (!service)
        return 0;
    const auto servers = service->pool.servers();
    return static_cast<std::size_t>(
        std::count_if(servers.begin(), servers.end(), [](const auto& server) { return server->takesNewRequests(); }));
}

bool PathManager::isUnreachable(const ServiceState& service, Milliseconds now) const
{
    const std::string& name = service.description.name;
    return this->monitor.countFailed(name) && this->monitor.isUnreached(name, this->sizeOf(name))
        && !this->relays.mayReach(name, now);
}

bool PathManager::isPathFailure(const Flight& flight, const AttemptEnd& end) const
{
    if (isAnswer(end.result))
        return false;
    if (flight.relay)
        return isRelayFailure(end.connect) || end.hasRelayEnded;
    return this->monitor.isLost(flight.server->record());
}

void PathManager::attemptSent(const Flight& flight)
{
    if (!flight.relay)
        return;
    this->dependencies.counters->add(DecisionCount::AttemptsRelayed);
    this->relays.connectionOpened(*flight.relay);
}

void PathManager::attemptEnded(const Flight& flight, const AttemptEnd& end, Milliseconds now, Actions& actions)
{
    const BackendServerRecord& server = flight.server->record();
    if (flight.relay) {
        this->relays.connectionClosed(*flight.relay);
        if (isAnswer(end.result))
            this->relayedEnded(*flight.relay, server, ConnectOutcome::Connected, now);
        else if (isRelayFailure(end.connect))
            this->relayedEnded(*flight.relay, server, end.connect, now);
        else if (end.hasRelayEnded) {
            this->dependencies.counters->add(DecisionCount::RelaysEnded);
            this->relayedEnded(*flight.relay, server, ConnectOutcome::RelayDeclined, now);
        }
        return;
    }
    if (isAnswer(end.result))
        this->recordSuccess(server, now);
    else if (end.connect == ConnectOutcome::Refused || end.connect == ConnectOutcome::NoAnswer)
        this->directFailed(server, now, actions);
}

void PathManager::relayedEnded(
    const NetworkAddress& relay, const BackendServerRecord& server, ConnectOutcome outcome, Milliseconds now)
{
    switch (outcome) {
    case ConnectOutcome::Connected:
        return this->relays.connected(relay, server, now);
    case ConnectOutcome::RelayUnreached:
        return this->relays.foundSilent(relay, now);
    case ConnectOutcome::RelayDeclined:
        return this->relays.foundDeclining(relay, now);
    case ConnectOutcome::RelayNoPath:
        return this->relays.foundNoPath(relay, server, now);
    case ConnectOutcome::RelayServiceUnreached:
        return this->relays.foundServiceUnreached(relay, server.service, now);
    default:
        return;
    }
}

void PathManager::recordSuccess(const BackendServerRecord& server, Milliseconds now)
{
    this->monitor.recordSuccess(server, now);
    if (!this->refusing.empty())
        this->settleRefusingServers(now);
}

void PathManager::attemptSilent(const Flight& flight, Milliseconds now, Actions& actions)
{
    const BackendServerRecord& server = flight.server->record();
    if (flight.relay || this->monitor.lastSuccess(server.service) >= flight.sentAt)
        return;
    if (this->monitor.startCheck(server, now))
        actions.emplace_back(CheckServer{ .backendServer = server.id, .address = server.address, .isForPath = true });
}

void PathManager::directFailed(const BackendServerRecord& server, Milliseconds now, Actions& actions)
{
    this->monitor.recordFailure(server, now);
    if (!this->monitor.startAsking(server.id, now))
        return;
    this->askAnother(server, now, actions);
    const auto service = this->dependencies.services->byName(server.service);
    if (service && this->monitor.countFailed(server.service) >= this->options.failuresToCheckOthers)
        this->checkOthers(*service, this->options.checksPerFailure, now, actions);
}

void PathManager::askAnother(const BackendServerRecord& server, Milliseconds now, Actions& actions)
{
    const auto relay = this->relays.choose(server, this->random, now);
    if (relay)
        actions.emplace_back(
            CheckServer{ .backendServer = server.id, .address = server.address, .relay = relay, .isForPath = true });
    else
        this->monitor.recordVerdict(server.id, PathVerdict::Unknown);
}

void PathManager::checkOthers(const ServiceState& service, std::size_t most, Milliseconds now, Actions& actions)
{
    const auto servers = service.pool.servers();
    const std::size_t first = servers.empty() ? 0 : this->random.below(servers.size());
    std::size_t started = 0;
    for (std::size_t index = 0; index < servers.size() && started < most; ++index) {
        const auto& server = servers[(first + index) % servers.size()];
        if (!server->takesNewRequests() || this->monitor.isSuspect(server->id())
            || !this->monitor.startCheck(server->record(), now))
            continue;
        ++started;
        actions.emplace_back(
            CheckServer{ .backendServer = server->id(), .address = server->record().address, .isForPath = true });
    }
}

void PathManager::checkAllServices(const std::string& except, Milliseconds now, Actions& actions)
{
    for (const auto& service : this->dependencies.services->all()) {
        const std::string& name = service->description.name;
        if (name != except && !this->monitor.countFailed(name))
            this->checkOthers(*service, this->options.checksPerOtherService, now, actions);
    }
}

void PathManager::checkEnded(const ServerChecked& event, Milliseconds now, Actions& actions)
{
    const auto server = this->dependencies.services->backendServer(event.backendServer);
    if (event.relay)
        return this->relayedCheckEnded(event, now, actions);
    if (!server) {
        if (!event.isForPath)
            this->findings.push_back(event);
        return;
    }
    if (event.result == ConnectOutcome::Connected)
        this->recordSuccess(server->record(), now);
    if (event.result == ConnectOutcome::Refused || event.result == ConnectOutcome::NoAnswer)
        this->directFailed(server->record(), now, actions);
    if (!event.isForPath && event.result == ConnectOutcome::Refused)
        this->serverRefused(*server, now, actions);
    else if (!event.isForPath)
        this->findings.push_back(event);
    this->settleRefusingServers(now);
}

void PathManager::relayedCheckEnded(const ServerChecked& event, Milliseconds now, Actions& actions)
{
    const auto server = this->dependencies.services->backendServer(event.backendServer);
    if (!server)
        return;
    this->relayedEnded(*event.relay, server->record(), event.result, now);
    if (event.result == ConnectOutcome::Connected)
        return this->reachedElsewhere(*server, now, actions);
    const bool isDown = event.result == ConnectOutcome::Refused || event.result == ConnectOutcome::NoAnswer;
    this->monitor.recordVerdict(event.backendServer, isDown ? PathVerdict::ServerDown : PathVerdict::Unknown);
    if (!isDown && this->monitor.askAgain(event.backendServer))
        this->askAnother(server->record(), now, actions);
}

void PathManager::reachedElsewhere(const BackendServerState& server, Milliseconds now, Actions& actions)
{
    this->monitor.recordVerdict(server.id(), PathVerdict::Lost);
    actions.emplace_back(
        CheckServer{ .backendServer = server.id(), .address = server.record().address, .isForPath = true });
    if (const auto service = this->dependencies.services->byName(server.record().service))
        this->checkOthers(*service, this->options.checksPerFailure, now, actions);
    this->checkAllServices(server.record().service, now, actions);
    if (!this->refusing.erase(server.id()))
        return;
    this->findings.push_back({ .backendServer = server.id(), .result = ConnectOutcome::Abandoned });
}

void PathManager::serverRefused(const BackendServerState& server, Milliseconds now, Actions& actions)
{
    if (this->monitor.verdict(server.id()) == PathVerdict::Lost) {
        this->findings.push_back({ .backendServer = server.id(), .result = ConnectOutcome::Abandoned });
        return;
    }
    const auto witnesses = this->findWitnesses(server);
    // The last server that had not failed before: the others failed one by one, while the path worked.
    const bool isLast = witnesses.empty() && this->monitor.countNewlyFailed() <= 1;
    if (isLast) {
        this->findings.push_back({ .backendServer = server.id(), .result = ConnectOutcome::Refused });
        return;
    }
    this->refusing[server.id()] = now;
    for (const auto& witness : witnesses)
        actions.emplace_back(
            CheckServer{ .backendServer = witness->id(), .address = witness->record().address, .isForPath = true });
}

std::vector<std::shared_ptr<BackendServerState>> PathManager::findWitnesses(const BackendServerState& server) const
{
    std::vector<std::shared_ptr<BackendServerState>> found;
    const auto collect = [&](const ServiceState& service) {
        const auto servers = service.pool.servers();
        const std::size_t first = servers.empty() ? 0 : this->random.below(servers.size());
        for (std::size_t index = 0; index < servers.size() && found.size() < this->options.witnesses; ++index) {
            const auto& other = servers[(first + index) % servers.size()];
            if (other->id() != server.id() && other->takesNewRequests() && !this->monitor.isSuspect(other->id()))
                found.push_back(other);
        }
    };
    if (const auto service = this->dependencies.services->byName(server.record().service))
        collect(*service);
    for (const auto& service : this->dependencies.services->all()) {
        if (found.empty())
            collect(*service);
    }
    return found;
}

void PathManager::settleRefusingServers(Milliseconds now)
{
    std::erase_if(this->refusing, [&](const auto& item) {
        const auto& [id, refusedAt] = item;
        const bool isOver = now - refusedAt > this->options.refusalValidity;
        const bool hasWitness = this->monitor.lastSuccess() > refusedAt;
        if (isOver || hasWitness)
            this->findings.push_back(
                { .backendServer = id, .result = hasWitness ? ConnectOutcome::Refused : ConnectOutcome::Abandoned });
        return isOver || hasWitness;
    });
}

std::vector<ServerChecked> PathManager::takeFindings()
{
    return std::exchange(this->findings, {});
}

void PathManager::relayAsked(const RelayAsked& event, bool isStopping, Actions& actions)
{
    AnswerRelay answer{ .relay = event.relay, .backendServer = event.backendServer };
    const auto server = this->dependencies.services->backendServer(event.backendServer);
    // A relay never uses another relay: a connection takes one hop more at most.
    if (isStopping)
        answer.refusal = RelayRefusal::Stopping;
    else if (!server)
        answer.refusal = RelayRefusal::UnknownServer;
    else if (this->monitor.isUnreached(server->record().service, this->sizeOf(server->record().service)))
        answer.refusal = RelayRefusal::ServiceUnreached;
    else if (!this->monitor.isLost(server->record()))
        answer.address = server->record().address;
    this->dependencies.counters->add(answer.address ? DecisionCount::RelaysOpened : DecisionCount::RelaysRefused);
    actions.emplace_back(std::move(answer));
}

void PathManager::relayFailed(const RelayConnectFailed& event, Milliseconds now, Actions& actions)
{
    AnswerRelay answer{
        .relay = event.relay, .backendServer = event.backendServer, .refusal = RelayRefusal::UnknownServer
    };
    if (const auto server = this->dependencies.services->backendServer(event.backendServer)) {
        const std::string& name = server->record().service;
        this->monitor.recordFailure(server->record(), now);
        answer.refusal = this->refusalAfter(event.result, server->record(), now);
        const auto service = this->dependencies.services->byName(name);
        if (service && answer.refusal == RelayRefusal::NoPath)
            this->checkOthers(*service, this->options.checksPerFailure, now, actions);
    }
    actions.emplace_back(std::move(answer));
}

RelayRefusal PathManager::refusalAfter(
    ConnectOutcome outcome, const BackendServerRecord& server, Milliseconds now) const
{
    if (this->monitor.isUnreached(server.service, this->sizeOf(server.service)))
        return RelayRefusal::ServiceUnreached;
    // Without a recent success, this instance's own path may be what is broken.
    if (now - this->monitor.lastSuccess(server.service) > this->options.pathKnownFor)
        return RelayRefusal::NoPath;
    switch (outcome) {
    case ConnectOutcome::Refused:
        return RelayRefusal::ServerRefused;
    case ConnectOutcome::NoAnswer:
        return RelayRefusal::ServerSilent;
    default:
        return RelayRefusal::NoPath;
    }
}

void PathManager::receive(const peers::PeerMessage& message, Milliseconds now)
{
    if (message.has_hello())
        this->relays.learn(message.hello().member(), now);
    for (const peers::Member& watcher : message.watchers().watchers())
        this->relays.learn(watcher, now);
    const peers::News& news = message.news();
    this->relays.learn(news.origin(), now);
    for (const auto* members : { &news.watchers(), &news.contacts(), &news.relays() }) {
        for (const peers::Member& member : *members)
            this->relays.learn(member, now);
    }
    for (const std::uint32_t service : news.unreached_services())
        this->relays.learnUnreached(service, now);
}

void PathManager::tick(Milliseconds now, Actions& actions)
{
    this->settleRefusingServers(now);
    while (const auto id = this->monitor.takeDueCheck(now)) {
        const auto server = this->dependencies.services->backendServer(*id);
        if (server)
            actions.emplace_back(
                CheckServer{ .backendServer = *id, .address = server->record().address, .isForPath = true });
        else
            this->monitor.forget(*id);
    }
    if (now >= this->nextInferenceCheck)
        this->checkInferred(now, actions);
    this->recordChanges(now, actions);
}

void PathManager::checkInferred(Milliseconds now, Actions& actions)
{
    this->nextInferenceCheck = now + this->options.inferenceCheckInterval;
    std::vector<std::string> inferred;
    std::copy_if(this->lost.begin(), this->lost.end(), std::back_inserter(inferred),
        [this](const std::string& id) { return !this->monitor.isSuspect(id); });
    for (std::size_t count = 0; count < this->options.inferenceChecks && !inferred.empty(); ++count) {
        std::swap(inferred[this->random.below(inferred.size())], inferred.back());
        const auto server = this->dependencies.services->backendServer(inferred.back());
        inferred.pop_back();
        if (server && this->monitor.startCheck(server->record(), now))
            actions.emplace_back(
                CheckServer{ .backendServer = server->id(), .address = server->record().address, .isForPath = true });
    }
}

Milliseconds PathManager::nextDue() const
{
    const bool mayInfer = !this->lost.empty();
    const bool hasRecord = this->unrecorded.lost || this->unrecorded.restored;
    return std::min({ this->monitor.nextCheck(), mayInfer ? this->nextInferenceCheck : Never,
        hasRecord ? this->unrecorded.recordedAt + this->options.recordInterval : Never });
}

const std::vector<std::uint32_t>& PathManager::unreachedServices()
{
    if (this->unreachedGeneration == this->monitor.failureGeneration())
        return this->unreached;
    this->unreachedGeneration = this->monitor.failureGeneration();
    this->unreached.clear();
    for (const auto& service : this->dependencies.services->all()) {
        const std::string& name = service->description.name;
        if (this->monitor.countFailed(name) && this->monitor.isUnreached(name, this->sizeOf(name)))
            this->unreached.push_back(shortHashOf(name));
    }
    return this->unreached;
}

std::vector<std::string> PathManager::applyChanges(Milliseconds now, Actions& actions)
{
    std::vector<std::string> newlyLost;
    if (this->appliedGeneration == this->monitor.lossGeneration())
        return newlyLost;
    this->appliedGeneration = this->monitor.lossGeneration();
    std::set<std::string> lostNow;
    for (const auto& service : this->dependencies.services->all()) {
        for (const auto& server : service->pool.servers()) {
            if (!this->monitor.isLost(server->record()))
                continue;
            lostNow.insert(server->id());
            if (this->lost.contains(server->id()))
                continue;
            newlyLost.push_back(server->id());
            server->forgetFailures();
            // Idle connections may be dead, and what is not written yet is better sent through a relay.
            actions.emplace_back(StopSendingTo{ .backendServer = server->id() });
        }
    }
    const auto restored = std::count_if(
        this->lost.begin(), this->lost.end(), [&](const std::string& id) { return !lostNow.contains(id); });
    this->lost = std::move(lostNow);
    this->dependencies.counters->add(DecisionCount::PathsLost, newlyLost.size());
    this->unrecorded.lost += newlyLost.size();
    this->unrecorded.restored += static_cast<std::size_t>(restored);
    if (!newlyLost.empty())
        this->unrecorded.exampleLost = newlyLost.front();
    this->recordChanges(now, actions);
    return newlyLost;
}

void PathManager::recordChanges(Milliseconds now, Actions& actions)
{
    // The same sum as in nextDue(): a difference may be rounded to less than the interval when the timer fires.
    const bool isDue = now >= this->unrecorded.recordedAt + this->options.recordInterval;
    if (!isDue || (!this->unrecorded.lost && !this->unrecorded.restored))
        return;
    DecisionRecord record = knowledgeRecord("paths_changed", this->options.relays.instance);
    record.with("lost", std::uint64_t{ this->unrecorded.lost })
        .with("restored", std::uint64_t{ this->unrecorded.restored })
        .with("lost_now", std::uint64_t{ this->lost.size() })
        .with("services_unreached", std::uint64_t{ this->unreachedServices().size() });
    if (this->unrecorded.lost)
        record.with("example", this->unrecorded.exampleLost);
    actions.emplace_back(std::move(record));
    this->unrecorded = { .recordedAt = now };
}

}
