#include "Tests/Virtual/VirtualFleet.h"

#include "Base/Hash.h"
#include "Configuration/ConfigurationCodec.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace burlreach {

namespace {

constexpr std::uint16_t PeersPort = 7000;
constexpr std::uint16_t RelayPort = 7001;
constexpr std::uint16_t FirstServerPort = 10000;
constexpr std::uint32_t ServerPorts = 50000;
constexpr const char* DataCentres[] = { "dc-1", "dc-2", "dc-3" };
/** Capacity of a strong instance, in percent of a processor. */
constexpr std::uint32_t StrongCapacity = 50;
/** Time from a change of paths after which a path that another instance has must be used. */
constexpr Milliseconds PathsFoundWithin{ 3000 };
/** A server that was down is checked again after up to 2 s, and only then has an instance a path to tell of. */
constexpr Milliseconds ServersFoundWithin{ 5000 };
/** How many times faster the link of a strong instance is than that of any other. */
constexpr double StrongLink = 20;

/** What the instance that asked for a relay makes of the refusal. */
ConnectOutcome outcomeOf(RelayRefusal refusal)
{
    switch (refusal) {
    case RelayRefusal::Stopping:
    case RelayRefusal::UnknownServer:
        break;
    case RelayRefusal::NoPath:
        return ConnectOutcome::RelayNoPath;
    case RelayRefusal::ServiceUnreached:
        return ConnectOutcome::RelayServiceUnreached;
    case RelayRefusal::ServerRefused:
        return ConnectOutcome::Refused;
    case RelayRefusal::ServerSilent:
        return ConnectOutcome::NoAnswer;
    }
    return ConnectOutcome::RelayDeclined;
}

/** A number that is unique among all attempts of the fleet. */
AttemptNumber attemptAt(std::size_t instance, AttemptNumber attempt)
{
    constexpr AttemptNumber mostInstances = 1000;
    return attempt * mostInstances + instance;
}

template <typename Kind>
constexpr std::string_view StepName = "";
template <>
constexpr std::string_view StepName<SendAttempt> = "send-attempt";
template <>
constexpr std::string_view StepName<CancelAttempt> = "cancel-attempt";
template <>
constexpr std::string_view StepName<ForwardAnswer> = "pass-answer";
template <>
constexpr std::string_view StepName<RefuseRequest> = "refuse-request";
template <>
constexpr std::string_view StepName<SendProbe> = "send-probe";
template <>
constexpr std::string_view StepName<SendToPeer> = "send-to-peer";
template <>
constexpr std::string_view StepName<CallStore> = "ask-store";
template <>
constexpr std::string_view StepName<RequestArrived> = "request-arrived";
template <>
constexpr std::string_view StepName<AttemptEnded> = "attempt-ended";
template <>
constexpr std::string_view StepName<ProbeEnded> = "probe-ended";
template <>
constexpr std::string_view StepName<PeerMessageArrived> = "peer-message-arrived";
template <>
constexpr std::string_view StepName<StoreAnswered> = "store-answered";
template <>
constexpr std::string_view StepName<StopAsked> = "stop-asked";

}

NetworkAddress virtualAddress(const std::string& serverId)
{
    const auto port = static_cast<std::uint16_t>(FirstServerPort + shortHashOf(serverId) % ServerPorts);
    return { .host = "10.0.0.1", .port = port };
}

v1::Configuration virtualConfiguration(
    const std::vector<std::string>& serverIds, std::uint32_t revision, const std::string& name)
{
    v1::Configuration configuration;
    configuration.set_revision(revision);
    v1::Service* service = configuration.add_services();
    service->set_name(name);
    service->add_hosts(name + ".example");
    service->mutable_limits()->set_deadline_milliseconds(2000);
    std::size_t index = 0;
    for (const std::string& id : serverIds) {
        v1::BackendServer* server = service->add_backend_servers();
        server->set_name(id);
        const NetworkAddress address = virtualAddress(id);
        server->set_address(address.host);
        server->set_port(address.port);
        server->set_data_centre(DataCentres[index++ % std::size(DataCentres)]);
        server->set_slots(3);
    }
    return configuration;
}

VirtualFleet::VirtualFleet(const Options& givenOptions)
    : options(givenOptions)
    , store(givenOptions.store, this->time)
    , nodes(givenOptions.instances)
    , messagesOf(givenOptions.instances, 0)
{
    for (std::size_t instance = 0; instance < this->nodes.size(); ++instance)
        this->byAddress[this->addressOf(instance).text()] = instance;
}

NetworkAddress VirtualFleet::addressOf(std::size_t instance) const
{
    constexpr std::size_t perNetwork = 250;
    const std::string network = "10.1." + std::to_string(instance / perNetwork);
    return { .host = network + "." + std::to_string(instance % perNetwork + 1), .port = PeersPort };
}

std::string VirtualFleet::nameOf(std::size_t instance) const
{
    return "entry-" + std::to_string(instance + 1);
}

void VirtualFleet::addServer(const VirtualBackendServer::Options& server)
{
    this->servers[server.id]
        = std::make_unique<VirtualBackendServer>(server, this->time, this->options.seed + this->servers.size());
}

std::size_t VirtualFleet::mostMessagesOfOne() const
{
    return *std::max_element(this->messagesOf.begin(), this->messagesOf.end());
}

std::vector<std::string> VirtualFleet::serverIds() const
{
    std::vector<std::string> ids;
    for (const auto& [id, server] : this->servers)
        ids.push_back(id);
    return ids;
}

VirtualBackendServer* VirtualFleet::serverAt(const NetworkAddress& address)
{
    const auto found = std::find_if(this->servers.begin(), this->servers.end(),
        [&](const auto& item) { return virtualAddress(item.first) == address; });
    return found == this->servers.end() ? nullptr : found->second.get();
}

StoreRevision VirtualFleet::configure(const v1::Configuration& configuration)
{
    const auto& emptied = configuration.emptied_data_centres();
    this->configuredAt = this->time.now();
    this->serversOfHost.clear();
    for (const v1::Service& service : configuration.services()) {
        std::set<std::string>& used = this->serversOfHost[service.name() + ".example"];
        for (const v1::BackendServer& server : service.backend_servers()) {
            const bool isEmptied = std::find(emptied.begin(), emptied.end(), server.data_centre()) != emptied.end();
            if (!server.draining() && !isEmptied)
                used.insert(server.name());
        }
    }
    return this->store.put(NativeConfigurationKey, encodeConfiguration(configuration));
}

void VirtualFleet::start(std::size_t instance)
{
    Place& place = this->nodes[instance];
    Node::Options node;
    node.name = this->nameOf(instance);
    node.dataCentre = DataCentres[instance % std::size(DataCentres)];
    node.peersAddress = this->addressOf(instance);
    node.relayAddress = { .host = node.peersAddress.host, .port = RelayPort };
    node.incarnation = ++place.life;
    node.seed = this->options.seed * 1000 + instance * 10 + place.life;
    for (std::size_t seed = 0; seed < std::min(this->options.seedInstances, this->nodes.size()); ++seed)
        node.seeds.push_back(this->addressOf(seed));
    node.retries = this->options.retries;
    node.probesPerSecond = this->options.probesPerSecond;
    node.translator = this->options.translator ? this->options.translator : std::make_shared<NativeItemTranslator>();
    node.capacity = this->isStrong(instance) ? StrongCapacity : this->options.weakCapacity;
    node.changeKey = NativeConfigurationKey;
    node.policies = this->options.policies;
    node.requests = this->options.requests;
    place.node = std::make_unique<Node>(node);
    place.isFrozen = false;
    place.changedAt = this->time.now();
    place.held.clear();
    place.waiting.clear();
    place.isBusy = false;
    place.requestTimer = Never;
    place.controlTimer = Never;
    this->handle(instance, ControlTimer{});
}

void VirtualFleet::startAll()
{
    for (std::size_t instance = 0; instance < this->nodes.size(); ++instance)
        this->start(instance);
}

void VirtualFleet::kill(std::size_t instance)
{
    Place& place = this->nodes[instance];
    place.node.reset();
    place.waiting.clear();
    place.isBusy = false;
    ++place.life;
    this->endRelayed(instance);
    for (auto& [number, caller] : this->callerList) {
        if (caller.instance == instance && caller.outcome == CallerOutcome::Waiting)
            this->endCaller(number, CallerOutcome::Cut);
    }
}

void VirtualFleet::freeze(std::size_t instance)
{
    this->nodes[instance].isFrozen = true;
}

void VirtualFleet::wake(std::size_t instance)
{
    Place& place = this->nodes[instance];
    place.isFrozen = false;
    place.changedAt = this->time.now();
    place.resumedAt = this->time.now();
    const std::vector<Event> held = std::exchange(place.held, {});
    for (const Event& event : held) {
        if (place.node)
            this->handle(instance, event);
    }
}

void VirtualFleet::askToStop(std::size_t instance)
{
    this->deliver(instance, this->nodes[instance].life, StopAsked{});
}

void VirtualFleet::stop(std::size_t instance, const PlannedStop& planned)
{
    const std::uint64_t life = this->nodes[instance].life;
    const Milliseconds now = this->time.now();
    this->deliver(instance, life,
        StopAsked{ .times = { .noticedBy = now + planned.noticedBy, .answersDue = now + planned.answersDue } });
    this->time.after(planned.end, [this, instance, life, begin = now, noticedBy = planned.noticedBy] {
        const Place& place = this->nodes[instance];
        if (place.life != life)
            return;
        // An instance that is suspended meanwhile cannot answer in time. Requests that may be repeated are taken on
        // their usual duration while callers cannot know of the stop.
        const bool wasSuspended = place.isFrozen || place.resumedAt >= begin;
        for (auto& [number, caller] : this->callerList) {
            const bool isOpen = caller.instance == instance && caller.outcome == CallerOutcome::Waiting;
            const bool mayBeCut = wasSuspended || (!caller.runOnce && caller.sentAt < begin + noticedBy);
            caller.wasCutByStop = caller.wasCutByStop || (isOpen && !mayBeCut);
        }
        this->kill(instance);
    });
}

void VirtualFleet::cutFromPeers(std::size_t instance, bool cut)
{
    this->nodes[instance].isCut = cut;
    this->nodes[instance].changedAt = this->time.now();
}

void VirtualFleet::setSide(std::size_t instance, std::size_t side)
{
    this->nodes[instance].side = side;
    this->nodes[instance].changedAt = this->time.now();
}

bool VirtualFleet::isPeerCut(std::size_t instance, std::size_t other) const
{
    return this->nodes[instance].isCut || this->nodes[other].isCut
        || this->nodes[instance].side != this->nodes[other].side;
}

void VirtualFleet::cutFromServers(std::size_t instance, ServerCut cut, const std::set<std::string>& servers)
{
    this->nodes[instance].serverCut = cut;
    this->nodes[instance].cutServers = servers;
    this->nodes[instance].changedAt = this->time.now();
}

bool VirtualFleet::isSettled(std::size_t instance) const
{
    const Place& place = this->nodes[instance];
    return place.node && !place.isFrozen && this->time.now() - place.changedAt >= PathsFoundWithin;
}

bool VirtualFleet::couldBeServed(std::size_t instance, const std::string& host) const
{
    const Milliseconds now = this->time.now();
    const auto used = this->serversOfHost.find(host);
    if (!this->isSettled(instance) || used == this->serversOfHost.end() || now - this->configuredAt < PathsFoundWithin)
        return false;
    for (std::size_t other = 0; other < this->nodes.size(); ++other) {
        if (!this->isSettled(other) || (other != instance && this->isPeerCut(instance, other)))
            continue;
        const bool isReached = std::any_of(used->second.begin(), used->second.end(), [&](const std::string& id) {
            const VirtualBackendServer& server = *this->servers.at(id);
            return !server.isLeaving() && server.fault() == ServerFault::None
                && now - server.faultSince() >= ServersFoundWithin
                && this->cutBetween(other, &server) == ServerCut::None;
        });
        if (isReached)
            return true;
    }
    return false;
}

ServerCut VirtualFleet::cutBetween(std::size_t instance, const VirtualBackendServer* server) const
{
    const Place& place = this->nodes[instance];
    if (!server || (!place.cutServers.empty() && !place.cutServers.contains(server->id())))
        return ServerCut::None;
    return place.serverCut;
}

ConnectOutcome VirtualFleet::connectOutcome(std::size_t instance, const VirtualBackendServer* server) const
{
    if (server && server->fault() == ServerFault::Dark)
        return ConnectOutcome::NoAnswer;
    switch (this->cutBetween(instance, server)) {
    case ServerCut::None:
        break;
    case ServerCut::Silent:
    case ServerCut::OneWay:
    case ServerCut::NewSilent:
        return ConnectOutcome::NoAnswer;
    case ServerCut::Reset:
    case ServerCut::NewRefused:
        return ConnectOutcome::Refused;
    }
    const bool isListening = server && server->fault() != ServerFault::Dead;
    return isListening ? ConnectOutcome::Connected : ConnectOutcome::Refused;
}

Milliseconds VirtualFleet::connectTime(ConnectOutcome outcome) const
{
    return outcome == ConnectOutcome::NoAnswer ? this->options.connectTimeout : this->options.toServer * 2;
}

void VirtualFleet::tell(std::size_t instance, std::string_view step) const
{
    if (this->observer && !step.empty())
        this->observer(instance, step);
}

void VirtualFleet::deliver(std::size_t instance, std::uint64_t life, const Event& event)
{
    Place& place = this->nodes[instance];
    if (!place.node || place.life != life)
        return;
    if (place.isFrozen) {
        place.held.push_back(event);
        return;
    }
    std::visit([&](const auto& item) { this->tell(instance, StepName<std::decay_t<decltype(item)>>); }, event);
    // The observer may have killed or suspended the instance.
    if (!place.node || place.life != life)
        return;
    if (place.isFrozen)
        place.held.push_back(event);
    else
        this->handle(instance, event);
}

void VirtualFleet::handle(std::size_t instance, const Event& event)
{
    if (!this->options.processor)
        return this->perform(instance, this->nodes[instance].life, this->decide(instance, event));
    this->nodes[instance].waiting.push_back({ .event = event, .since = this->time.now() });
    this->beginNextEvent(instance);
}

Actions VirtualFleet::decide(std::size_t instance, const Event& event)
{
    const Place& place = this->nodes[instance];
    if (const auto* noticed = std::get_if<ServerNoticed>(&event))
        this->noticeList.push_back({ .instance = instance,
            .life = place.life,
            .backendServer = noticed->backendServer,
            .notice = noticed->notice,
            .at = this->time.now() });
    Actions actions;
    place.node->handle(event, this->time.now(), actions);
    return actions;
}

void VirtualFleet::perform(std::size_t instance, std::uint64_t life, const Actions& actions)
{
    for (const Action& action : actions) {
        std::visit(
            [&](const auto& item) {
                if (!this->nodes[instance].node || this->nodes[instance].life != life)
                    return;
                this->execute(instance, item);
                this->tell(instance, StepName<std::decay_t<decltype(item)>>);
            },
            action);
    }
    if (this->nodes[instance].node && this->nodes[instance].life == life)
        this->planTimers(instance);
}

void VirtualFleet::beginNextEvent(std::size_t instance)
{
    Place& place = this->nodes[instance];
    if (place.isBusy || place.waiting.empty())
        return;
    place.isBusy = true;
    const WaitingEvent next = std::move(place.waiting.front());
    place.waiting.pop_front();
    place.longestWait = std::max(place.longestWait, this->time.now() - next.since);
    const DecisionCounters before = place.node->counters();
    const Actions actions = this->decide(instance, next.event);
    this->time.after(
        this->processorTime(instance, next.event, actions, before), [this, instance, life = place.life, actions] {
            if (this->nodes[instance].life != life)
                return;
            this->nodes[instance].isBusy = false;
            this->perform(instance, life, actions);
            this->beginNextEvent(instance);
        });
}

Milliseconds VirtualFleet::processorTime(
    std::size_t instance, const Event& event, const Actions& actions, const DecisionCounters& before) const
{
    constexpr double kilobyte = 1000;
    constexpr double percent = 100;
    const ProcessorCost& cost = *this->options.processor;
    std::size_t bytes = 0;
    std::size_t messages = 0;
    if (const auto* arrived = std::get_if<PeerMessageArrived>(&event))
        bytes += arrived->message.ByteSizeLong();
    if (const auto* answered = std::get_if<StoreAnswered>(&event))
        bytes += bytesOf(answered->answer);
    for (const Action& action : actions) {
        if (const auto* sent = std::get_if<SendToPeer>(&action)) {
            bytes += sent->message.ByteSizeLong();
            ++messages;
        }
    }
    const Node& node = *this->nodes[instance].node;
    const auto counted
        = [&](DecisionCount kind) { return static_cast<double>(node.counters().value(kind) - before.value(kind)); };
    const double looks = counted(DecisionCount::CreditShareChecks) * static_cast<double>(node.knownInstances());
    const Milliseconds whole = cost.event + cost.message * static_cast<double>(messages)
        + cost.kilobyte * (static_cast<double>(bytes) / kilobyte) + cost.packing * counted(DecisionCount::ChangesPacked)
        + cost.shareCheck * looks;
    const std::uint32_t capacity = this->isStrong(instance) ? StrongCapacity : this->options.weakCapacity;
    return whole * (percent / static_cast<double>(capacity));
}

void VirtualFleet::resetWaits()
{
    for (Place& place : this->nodes)
        place.longestWait = {};
}

void VirtualFleet::planTimers(std::size_t instance)
{
    Place& place = this->nodes[instance];
    const Milliseconds now = this->time.now();
    const auto plan = [&](Milliseconds due, Milliseconds& planned, const Event& event) {
        if (due == Never || (planned > now && planned <= due))
            return;
        planned = std::max(due, now);
        const Milliseconds at = planned;
        this->time.after(planned - now, [this, instance, life = place.life, at, &planned, event] {
            if (this->nodes[instance].life != life || planned != at)
                return;
            planned = LongAgo;
            this->deliver(instance, life, event);
        });
    };
    plan(place.node->nextRequestDue(now), place.requestTimer, RequestTimer{});
    plan(place.node->nextControlDue(), place.controlTimer, ControlTimer{});
}

std::uint64_t VirtualFleet::send(std::size_t instance, const std::string& host, const std::string& method,
    const std::string& path, Milliseconds timeLeft, const std::string& kind)
{
    return this->send(
        instance, VirtualRequest{ .host = host, .method = method, .path = path, .timeLeft = timeLeft, .kind = kind });
}

std::uint64_t VirtualFleet::send(std::size_t instance, const VirtualRequest& request)
{
    const std::uint64_t number = ++this->lastCaller;
    VirtualCaller& caller = this->callerList[number];
    caller.number = number;
    caller.requestId = "r-" + std::to_string(number);
    caller.instance = instance;
    caller.host = request.host;
    caller.runOnce = request.method != "GET";
    caller.kind = request.kind;
    caller.crashesServers = request.crashesServers;
    caller.sentAt = this->time.now();
    caller.deadline = this->time.now() + request.timeLeft;
    if (!this->isAlive(instance)) {
        this->endCaller(number, CallerOutcome::Cut);
        return number;
    }
    RequestArrived event;
    event.request = number;
    event.host = request.host;
    event.method = request.method;
    event.path = request.path;
    event.requestId = caller.requestId;
    event.timeLeft = request.timeLeft;
    event.caller = request.caller;
    if (!request.key.empty())
        event.credential = { .kind = Credential::Kind::Key, .key = digestOfKey(request.key) };
    event.digest
        = digestOf({ .host = request.host, .method = request.method, .path = request.path, .body = request.body });
    this->deliver(instance, this->nodes[instance].life, event);
    return number;
}

void VirtualFleet::repeat(const RequestFor& requestFor, Milliseconds every)
{
    const std::size_t instance = this->repeats++ % this->nodes.size();
    this->send(instance, requestFor(instance));
    this->time.after(every, [this, requestFor, every] { this->repeat(requestFor, every); });
}

void VirtualFleet::leave(std::uint64_t number)
{
    VirtualCaller& caller = this->callerList.at(number);
    if (caller.outcome != CallerOutcome::Waiting)
        return;
    this->endCaller(number, CallerOutcome::Left);
    this->deliver(caller.instance, this->nodes[caller.instance].life, CallerGone{ .request = number });
}

void VirtualFleet::endCaller(std::uint64_t number, CallerOutcome outcome)
{
    VirtualCaller& caller = this->callerList.at(number);
    if (caller.outcome != CallerOutcome::Waiting)
        return;
    caller.outcome = outcome;
    caller.endedAt = this->time.now();
    if (this->callerEnded)
        this->callerEnded(caller);
}

void VirtualFleet::connect(std::size_t instance, const std::string& serverId, const NetworkAddress& address,
    const std::optional<NetworkAddress>& relay, const Connected& done)
{
    const VirtualBackendServer* server = this->serverAt(address);
    if (!relay) {
        const ConnectOutcome outcome = this->connectOutcome(instance, server);
        return this->time.after(this->connectTime(outcome), [done, outcome, instance] { done(outcome, instance); });
    }
    const auto found = this->byAddress.find(NetworkAddress{ .host = relay->host, .port = PeersPort }.text());
    const std::size_t other = found->second;
    if (this->isPeerCut(instance, other) || !this->isAlive(other) || this->nodes[other].isFrozen) {
        return this->time.after(
            this->options.connectTimeout, [done, instance] { done(ConnectOutcome::RelayUnreached, instance); });
    }
    const RelayNumber number = ++this->lastRelay;
    this->relays[number] = [this, other, number, serverId, done](const AnswerRelay& answer) {
        const auto reply = [this, other, done](ConnectOutcome outcome) {
            this->time.after(this->options.toPeer, [done, outcome, other] { done(outcome, other); });
        };
        if (!answer.address)
            return reply(outcomeOf(answer.refusal));
        const std::uint64_t life = this->nodes[other].life;
        this->connect(other, serverId, *answer.address, std::nullopt,
            [this, other, life, number, serverId, reply](ConnectOutcome outcome, std::size_t) {
                if (this->nodes[other].life != life)
                    return reply(ConnectOutcome::RelayUnreached);
                if (outcome == ConnectOutcome::Connected)
                    return reply(outcome);
                this->relays[number] = [reply](const AnswerRelay& last) { reply(outcomeOf(last.refusal)); };
                this->deliver(
                    other, life, RelayConnectFailed{ .relay = number, .backendServer = serverId, .result = outcome });
            });
    };
    this->time.after(
        this->options.toPeer, [this, instance, other, life = this->nodes[other].life, number, serverId, done] {
            if (this->nodes[other].life != life) {
                this->relays.erase(number);
                return done(ConnectOutcome::RelayUnreached, instance);
            }
            this->deliver(other, life, RelayAsked{ .relay = number, .backendServer = serverId });
        });
}

void VirtualFleet::execute(std::size_t, const AnswerRelay& action)
{
    const auto found = this->relays.find(action.relay);
    const auto answered = std::move(found->second);
    this->relays.erase(found);
    answered(action);
}

void VirtualFleet::execute(std::size_t instance, const SendAttempt& action)
{
    const std::uint64_t life = this->nodes[instance].life;
    const VirtualCaller& caller = this->callerList.at(action.request);
    const std::string requestId = caller.requestId;
    VirtualBackendServer* server = this->serverAt(action.address);
    const bool isListening = server && server->fault() != ServerFault::Dead && server->fault() != ServerFault::Dark;
    this->sent.push_back({ .instance = instance,
        .life = life,
        .requestId = requestId,
        .customer = action.customer,
        .backendServer = action.backendServer,
        .at = this->time.now(),
        .isListening = isListening,
        .crashesServers = caller.crashesServers });
    const Milliseconds sentAt = this->time.now();
    // Without a relay the connection takes no time of its own: most requests use a kept one.
    const ConnectOutcome direct = this->connectOutcome(instance, server);
    if (!action.relay && direct == ConnectOutcome::Connected)
        return this->sendOn({ .from = instance, .via = instance, .life = life, .sentAt = sentAt }, action);
    this->connect(instance, action.backendServer, action.address, action.relay,
        [this, instance, life, action, sentAt](ConnectOutcome outcome, std::size_t via) {
            if (outcome == ConnectOutcome::Connected)
                return this->sendOn({ .from = instance, .via = via, .life = life, .sentAt = sentAt }, action);
            const AttemptEnd end{ .result = AttemptResult::NotSent, .connect = outcome };
            this->attemptEnded(instance, life, action, sentAt, { .end = end, .requestId = {} });
        });
}

void VirtualFleet::sendOn(const OpenAttempt& open, const SendAttempt& action)
{
    if (this->cancelled.contains(attemptAt(open.from, action.attempt)))
        return;
    const auto found = this->callerList.find(action.request);
    VirtualBackendServer* server = this->serverAt(action.address);
    // A full server id contains service and address; the fakes know only the name in it.
    const bool isMeant = action.backendServer.find("/" + server->id() + "@") != std::string::npos;
    const std::string expected = isMeant ? server->id() : action.backendServer;
    const VirtualBackendServer::Arrival arrival{ .requestId = found->second.requestId,
        .expectedServer = expected,
        .attempt = attemptAt(open.from, action.attempt),
        .crashesServers = found->second.crashesServers };
    const Milliseconds oneWay
        = this->options.toServer + (open.via == open.from ? Milliseconds{} : this->options.toPeer);
    if (open.via != open.from && !this->isAlive(open.via))
        return this->attemptEnded(open.from, open.life, action, open.sentAt,
            { .end = { .result = AttemptResult::Broken, .hasRelayEnded = true }, .requestId = {} });
    if (open.via != open.from)
        this->relayedAttempts[arrival.attempt] = { .open = open, .action = action };
    this->time.after(oneWay, [this, server, arrival, open, action, oneWay] {
        this->arrived.push_back({ .requestId = arrival.requestId, .at = this->time.now() });
        server->receive(arrival, [this, server, open, action, oneWay](const ServerWord& word) {
            this->time.after(oneWay, [this, server, open, action, word] {
                if (open.via != open.from && !this->relayedAttempts.erase(attemptAt(open.from, action.attempt)))
                    return;
                const ServerCut cut = this->cutBetween(open.via, server);
                if (cut == ServerCut::Silent || cut == ServerCut::OneWay)
                    return;
                const ServerWord reset{ .end = { .result = AttemptResult::Broken }, .requestId = {} };
                this->attemptEnded(open.from, open.life, action, open.sentAt, cut == ServerCut::Reset ? reset : word);
            });
        });
    });
}

void VirtualFleet::endRelayed(std::size_t instance)
{
    std::vector<RelayedAttempt> ended;
    for (auto item = this->relayedAttempts.begin(); item != this->relayedAttempts.end();) {
        const auto next = std::next(item);
        if (item->second.open.via == instance)
            ended.push_back(std::move(this->relayedAttempts.extract(item).mapped()));
        item = next;
    }
    for (const RelayedAttempt& attempt : ended) {
        this->time.after(this->options.toPeer, [this, attempt] {
            this->attemptEnded(attempt.open.from, attempt.open.life, attempt.action, attempt.open.sentAt,
                { .end = { .result = AttemptResult::Broken, .hasRelayEnded = true }, .requestId = {} });
        });
        for (const auto& [id, server] : this->servers)
            server->cancel(attemptAt(attempt.open.from, attempt.action.attempt));
    }
}

void VirtualFleet::attemptEnded(
    std::size_t instance, std::uint64_t life, const SendAttempt& action, Milliseconds sentAt, const ServerWord& word)
{
    this->answers[{ instance, action.attempt }] = word.requestId;
    this->answerResults[attemptAt(instance, action.attempt)] = word.end.result;
    this->tellNotice(instance, life,
        { .backendServer = action.backendServer, .life = action.life, .notice = word.notice, .sentAt = sentAt });
    this->deliver(instance, life,
        AttemptEnded{ .request = action.request,
            .attempt = action.attempt,
            .backendServer = action.backendServer,
            .end = word.end });
}

void VirtualFleet::tellNotice(std::size_t instance, std::uint64_t life, const ServerNoticed& noticed)
{
    if (!noticed.notice.isEmpty())
        this->deliver(instance, life, noticed);
}

void VirtualFleet::execute(std::size_t instance, const CancelAttempt& action)
{
    this->cancelled.insert(attemptAt(instance, action.attempt));
    for (const auto& [id, server] : this->servers) {
        this->time.after(this->options.toServer,
            [&each = *server, number = attemptAt(instance, action.attempt)] { each.cancel(number); });
    }
}

void VirtualFleet::execute(std::size_t instance, const ForwardAnswer& action)
{
    VirtualCaller& caller = this->callerList.at(action.request);
    caller.answerOf = this->answers[{ instance, action.attempt }];
    const bool isGood = this->answerResults[attemptAt(instance, action.attempt)] == AttemptResult::Answered;
    this->endCaller(action.request, isGood ? CallerOutcome::Answered : CallerOutcome::Failed);
}

void VirtualFleet::execute(std::size_t instance, const RefuseRequest& action)
{
    VirtualCaller& caller = this->callerList.at(action.request);
    caller.reason = action.reason;
    caller.wasRefusedDespitePath = action.reason == RefusalReason::NoPath && this->couldBeServed(instance, caller.host);
    caller.comeBackAfter = action.retryAfter;
    const bool isNotRun = action.outcome == RefusedOutcome::NotRun;
    this->endCaller(action.request, isNotRun ? CallerOutcome::NotRun : CallerOutcome::Unknown);
}

void VirtualFleet::execute(std::size_t instance, const SendProbe& action)
{
    const std::uint64_t life = this->nodes[instance].life;
    this->probeList.push_back(
        { .instance = instance, .life = life, .backendServer = action.probe.backendServer, .at = this->time.now() });
    if (!action.relay)
        return this->probeFrom({ .from = instance, .via = instance, .life = life, .sentAt = this->time.now() }, action);
    const Milliseconds sentAt = this->time.now();
    this->connect(instance, action.probe.backendServer, action.probe.address, action.relay,
        [this, instance, life, action, sentAt](ConnectOutcome outcome, std::size_t via) {
            if (outcome == ConnectOutcome::Connected)
                return this->probeFrom({ .from = instance, .via = via, .life = life, .sentAt = sentAt }, action);
            this->deliver(instance, life, ProbeEnded{ .probe = action.probe.number });
        });
}

void VirtualFleet::probeFrom(const OpenAttempt& open, const SendProbe& action)
{
    VirtualBackendServer* server = this->serverAt(action.probe.address);
    const bool isCut = this->cutBetween(open.via, server) != ServerCut::None;
    const auto figures = server && !isCut ? server->probed() : std::nullopt;
    ProbeEnd end;
    end.isOtherServer = server && !isCut && server->fault() == ServerFault::Replaced;
    end.isAnswered = figures.has_value() || end.isOtherServer;
    end.load = figures;
    const Milliseconds took = end.isAnswered ? this->options.toServer * 2 : action.probe.timeout;
    const ServerNoticed noticed{ .backendServer = action.probe.backendServer,
        .life = action.probe.life,
        .notice = figures ? server->notice(server->fault() == ServerFault::Refuses) : ServerNotice{},
        .sentAt = open.sentAt };
    this->time.after(took, [this, open, number = action.probe.number, end, noticed] {
        this->tellNotice(open.from, open.life, noticed);
        this->deliver(open.from, open.life, ProbeEnded{ .probe = number, .end = end });
    });
}

void VirtualFleet::execute(std::size_t instance, const CheckServer& action)
{
    this->connect(instance, action.backendServer, action.address, action.relay,
        [this, instance, life = this->nodes[instance].life, action](ConnectOutcome outcome, std::size_t) {
            this->deliver(instance, life,
                ServerChecked{ .backendServer = action.backendServer,
                    .result = outcome,
                    .relay = action.relay,
                    .isForPath = action.isForPath });
        });
}

Milliseconds VirtualFleet::throughLink(std::size_t instance, Milliseconds& busyUntil, std::size_t bytes) const
{
    const Milliseconds now = this->time.now();
    if (this->options.linkBytesPerMillisecond <= 0)
        return now;
    const double rate = this->options.linkBytesPerMillisecond * (this->isStrong(instance) ? StrongLink : 1);
    busyUntil = std::max(busyUntil, now) + Milliseconds{ static_cast<double>(bytes) / rate };
    return busyUntil;
}

void VirtualFleet::receive(std::size_t instance, std::uint64_t life, std::size_t bytes, const Event& event)
{
    const Milliseconds through = this->throughLink(instance, this->nodes[instance].receivesUntil, bytes);
    if (through <= this->time.now())
        return this->deliver(instance, life, event);
    this->time.after(
        through - this->time.now(), [this, instance, life, event] { this->deliver(instance, life, event); });
}

void VirtualFleet::execute(std::size_t instance, const SendToPeer& action)
{
    ++this->peerMessageCount;
    ++this->messagesOf[instance];
    this->peerByteCount += action.message.ByteSizeLong();
    const auto found = this->byAddress.find(action.address.text());
    if (found == this->byAddress.end())
        return;
    const std::size_t other = found->second;
    if (this->isPeerCut(instance, other))
        return;
    const std::size_t bytes = action.message.ByteSizeLong();
    const Milliseconds sent = this->throughLink(instance, this->nodes[instance].sendsUntil, bytes);
    this->time.after(sent - this->time.now() + this->options.toPeer,
        [this, other, life = this->nodes[other].life, bytes, message = action.message] {
            this->receive(other, life, bytes, PeerMessageArrived{ .message = message });
        });
}

void VirtualFleet::execute(std::size_t instance, const TranslateItem& action)
{
    const auto translator
        = this->options.translator ? this->options.translator : std::make_shared<NativeItemTranslator>();
    const auto item = translateItem(*translator, action.item, action.source);
    this->time.after(this->options.translation, [this, instance, life = this->nodes[instance].life, item] {
        this->deliver(instance, life, ItemTranslated{ .item = item });
    });
}

void VirtualFleet::execute(std::size_t instance, const CallStore& action)
{
    const std::uint64_t life = this->nodes[instance].life;
    const auto answered = std::make_shared<bool>(false);
    this->store.call(
        this->nameOf(instance), action.request, [this, instance, life, answered](const StoreAnswer& answer) {
            if (std::exchange(*answered, true))
                return;
            this->receive(instance, life, bytesOf(answer), StoreAnswered{ .answer = answer });
        });
    this->time.after(action.request.timeout, [this, instance, life, answered, number = action.request.number] {
        if (std::exchange(*answered, true))
            return;
        StoreAnswer unknown;
        unknown.number = number;
        this->deliver(instance, life, StoreAnswered{ .answer = unknown });
    });
}

}
