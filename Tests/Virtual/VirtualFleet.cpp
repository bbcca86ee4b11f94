#include "Tests/Virtual/VirtualFleet.h"

#include "Configuration/ConfigurationCodec.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

constexpr std::uint16_t FirstNodePort = 1000;
constexpr std::uint16_t FirstBackendPort = 2000;
constexpr Milliseconds LateBy{ 2000 };
/** Between a decision and the system call that carries it out. */
constexpr Milliseconds ActionGap{ 0.02 };
constexpr std::uint64_t KeysPerNode = 1ULL << 40;

std::string dataCentreName(std::size_t index)
{
    return "dc-" + std::to_string(index + 1);
}

Step stepOf(const peers::PeerMessage& message, bool isPassedOn)
{
    switch (message.body_case()) {
    case peers::PeerMessage::kClaim:
        return isPassedOn ? Step::ClaimPassedOn : Step::ClaimSent;
    case peers::PeerMessage::kClaimAnswer:
        return Step::ClaimAnswered;
    case peers::PeerMessage::kDocumentsPull:
        return Step::DocumentsPulled;
    case peers::PeerMessage::kDocumentsPush:
        return Step::DocumentsPushed;
    case peers::PeerMessage::kConfigurationInForce:
        return Step::ToldInForce;
    case peers::PeerMessage::kSlotRecords:
        return Step::RecordsHanded;
    case peers::PeerMessage::kSlotRecordsKept:
        return Step::RecordsKept;
    case peers::PeerMessage::kProbePermitRequest:
        return Step::PermitAsked;
    case peers::PeerMessage::kProbePermit:
        return Step::PermitGiven;
    default:
        return Step::Count;
    }
}

Step stepOf(const StoreRequest& request)
{
    if (request.document == StoreDocument::Configuration)
        return request.operation == StoreOperation::Read ? Step::ConfigurationRead : Step::ConfigurationWritten;
    return request.operation == StoreOperation::Read ? Step::OwnershipRead : Step::OwnershipWritten;
}

}

VirtualFleet::VirtualFleet(const Options& givenOptions)
    : store(this->time)
    , random(givenOptions.seed)
    , options(givenOptions)
{
    for (std::size_t index = 0; index < this->options.backendServers; ++index) {
        const VirtualBackendServer::Options server{ .name = "server-" + std::to_string(index + 1),
            .dataCentre = dataCentreName(index % this->options.dataCentres) };
        this->backends.push_back(std::make_unique<VirtualBackendServer>(this->time, server));
    }
    this->probeTimes.resize(this->backends.size());
    this->sentTo.resize(this->backends.size());
    this->members.resize(this->options.nodes);
    for (std::size_t index = 0; index < this->members.size(); ++index) {
        this->members[index].name = "entry-" + std::to_string(index + 1);
        this->members[index].dataCentre = dataCentreName(index % this->options.dataCentres);
        this->members[index].address
            = { .host = "10.0.0.1", .port = static_cast<std::uint16_t>(FirstNodePort + index) };
    }
    this->store.changed = [this](StoreDocument document) {
        for (std::size_t node = 0; node < this->members.size(); ++node) {
            const bool watches = this->isAlive(node) && this->members[node].node->platformPlan().watchesDocuments;
            if (watches)
                this->readDocument(node, document);
        }
    };
}

v1::Configuration VirtualFleet::firstConfiguration() const
{
    v1::Configuration configuration;
    configuration.set_revision(1);
    v1::Service* service = configuration.add_services();
    service->set_name("bookings");
    service->add_hosts("bookings");
    for (std::size_t index = 0; index < this->backends.size(); ++index) {
        const auto& description = this->backends[index]->description();
        v1::BackendServer* server = service->add_backend_servers();
        server->set_name(description.name);
        server->set_address("10.0.1.1");
        server->set_port(static_cast<std::uint32_t>(FirstBackendPort + index));
        server->set_data_centre(description.dataCentre);
        server->set_slots(static_cast<std::uint32_t>(description.slots));
    }
    service->mutable_limits()->set_deadline_milliseconds(2000);
    return configuration;
}

void VirtualFleet::start()
{
    this->store.put(StoreDocument::Configuration, encodeConfiguration(this->firstConfiguration()));
    this->publishList();
    for (std::size_t node = 0; node < this->members.size(); ++node)
        this->startNode(node);
}

void VirtualFleet::startNode(std::size_t index)
{
    Member& member = this->members[index];
    Node::Options nodeOptions;
    nodeOptions.name = member.name;
    nodeOptions.dataCentre = member.dataCentre;
    nodeOptions.peersAddress = member.address;
    nodeOptions.incarnation = ++this->lastIncarnation;
    nodeOptions.seed = this->random.number();
    nodeOptions.requestIdsKept = this->options.requestIdsKept;
    nodeOptions.probes = this->options.probes;
    nodeOptions.hedges = this->options.hedges;
    nodeOptions.policies = this->options.policies;
    member.node = std::make_unique<Node>(nodeOptions);
    ++member.life;
    member.frozenUntil = LongAgo;
    member.nextDocumentPoll = this->time.now();
    member.nextListPoll = this->time.now();
    this->reach(Step::Started, index);
    this->tick(index, member.life);
}

void VirtualFleet::kill(std::size_t index)
{
    Member& member = this->members[index];
    member.node.reset();
    ++member.life;
    member.held.clear();
    member.requests.clear();
    member.ended.clear();
    member.calls.clear();
}

void VirtualFleet::freeze(std::size_t index, Milliseconds length)
{
    Member& member = this->members[index];
    member.frozenUntil = this->time.now() + length;
    this->time.after(length, [this, index] {
        Member& woken = this->members[index];
        if (this->isFrozen(index))
            return;
        while (!woken.held.empty()) {
            const VirtualTime::Task task = std::move(woken.held.front());
            woken.held.pop_front();
            task();
        }
    });
}

void VirtualFleet::cut(std::size_t from, std::size_t to, bool isCut)
{
    if (isCut)
        this->members[from].cutTo.insert(to);
    else
        this->members[from].cutTo.erase(to);
}

void VirtualFleet::setClockRate(std::size_t index, double rate)
{
    Member& member = this->members[index];
    member.clockBase = this->clockOf(member);
    member.rateSince = this->time.now();
    member.clockRate = rate;
}

Milliseconds VirtualFleet::clockOf(const Member& member) const
{
    return member.clockBase + (this->time.now() - member.rateSince) * member.clockRate;
}

Milliseconds VirtualFleet::distance(const std::string& from, const std::string& to) const
{
    return from == to ? this->options.withinDataCentre : this->options.betweenDataCentres;
}

std::uint32_t VirtualFleet::revisionOf(std::size_t index) const
{
    const v1::Configuration* configuration = this->node(index).configuration();
    return configuration ? configuration->revision() : 0;
}

void VirtualFleet::forNode(std::size_t index, std::uint64_t life, VirtualTime::Task task)
{
    Member& member = this->members[index];
    if (!member.node || member.life != life)
        return;
    if (!this->isFrozen(index))
        return task();
    member.held.push_back([this, index, life, task = std::move(task)] { this->forNode(index, life, task); });
}

void VirtualFleet::handle(std::size_t index, const Event& event)
{
    Member& member = this->members[index];
    Actions actions;
    member.node->handle(event, this->clockOf(member), actions);
    if (this->onEvent)
        this->onEvent(index);
    const std::uint64_t life = member.life;
    for (Action& action : actions) {
        this->time.after(ActionGap, [this, index, life, action = std::move(action)] {
            this->forNode(index, life, [this, index, action] { this->carryOut(index, action); });
        });
    }
}

void VirtualFleet::carryOut(std::size_t node, const Action& action)
{
    std::visit([this, node](const auto& item) { this->execute(node, item); }, action);
}

std::uint64_t VirtualFleet::keyOf(std::size_t node, AttemptNumber attempt) const
{
    return (node + 1) * KeysPerNode + this->members[node].life * (KeysPerNode >> 10) + attempt;
}

std::size_t VirtualFleet::backendAt(std::uint16_t port) const
{
    return static_cast<std::size_t>(port - FirstBackendPort);
}

void VirtualFleet::execute(std::size_t index, const SendAttempt& action)
{
    Member& member = this->members[index];
    const auto found = member.requests.find(action.request);
    if (found == member.requests.end())
        return;
    this->reach(found->second.runsOnce ? Step::RunOnceSent : Step::MayRepeatSent, index);
    const Milliseconds sendBy = this->time.now() + action.timeLeft;
    this->forNode(index, member.life, [this, index, action, sendBy] { this->launch(index, action, sendBy); });
}

void VirtualFleet::attemptEnded(std::size_t index, const SendAttempt& action, const AttemptEnd& end, bool runsOnce)
{
    this->members[index].ended[action.attempt]
        = { .answered = true, .result = end.result, .answeredId = action.requestId, .refusal = {} };
    this->reach(runsOnce ? Step::RunOnceEnded : Step::MayRepeatEnded, index);
    if (this->isAlive(index))
        this->handle(index, AttemptEnded{ .request = action.request, .attempt = action.attempt, .end = end });
}

void VirtualFleet::launch(std::size_t index, const SendAttempt& action, Milliseconds sendBy)
{
    Member& member = this->members[index];
    const auto found = member.requests.find(action.request);
    if (found == member.requests.end())
        return;
    const CallerWork& work = found->second;
    const bool runsOnce = work.runsOnce;
    // The daemon looks at its clock once more right before it sends.
    if (this->time.now() > sendBy)
        return this->attemptEnded(index, action,
            { .result = AttemptResult::NotSent, .reportedInFlight = std::nullopt, .leaving = false }, runsOnce);
    const std::size_t target = this->backendAt(action.address.port);
    const std::uint64_t life = member.life;
    const Milliseconds way = this->distance(member.dataCentre, this->backends[target]->description().dataCentre);
    this->sentTo[target].push_back({ .at = this->time.now(), .node = index });
    BackendWork atServer;
    atServer.key = this->keyOf(index, action.attempt);
    atServer.requestId = runsOnce ? action.requestId : std::string();
    atServer.cost = work.cost;
    atServer.done = [this, index, life, action, way, runsOnce](const AttemptEnd& end) {
        this->time.after(way, [this, index, life, action, end, runsOnce] {
            this->forNode(index, life,
                [this, index, action, end, runsOnce] { this->attemptEnded(index, action, end, runsOnce); });
        });
    };
    this->time.after(way, [this, target, index, runsOnce, atServer = std::move(atServer)] {
        if (runsOnce)
            this->reach(Step::RunOnceStarted, index);
        this->backends[target]->arrive(atServer);
    });
}

void VirtualFleet::execute(std::size_t index, const CancelAttempt& action)
{
    const std::uint64_t key = this->keyOf(index, action.attempt);
    this->time.after(this->options.betweenDataCentres, [this, key] {
        for (const auto& server : this->backends)
            server->cancel(key);
    });
}

void VirtualFleet::execute(std::size_t index, const PassAnswer& action)
{
    Member& member = this->members[index];
    const auto found = member.requests.find(action.request);
    if (found == member.requests.end())
        return;
    const CallerWork work = std::move(found->second);
    member.requests.erase(found);
    const RequestEnd end = member.ended[action.attempt];
    member.ended.erase(action.attempt);
    if (work.runsOnce)
        this->reach(Step::RunOncePassed, index);
    if (this->isAlive(index))
        work.done(end);
}

void VirtualFleet::execute(std::size_t index, const RefuseRequest& action)
{
    Member& member = this->members[index];
    ++this->refusals;
    const auto found = member.requests.find(action.request);
    if (found == member.requests.end())
        return;
    const CallerWork work = std::move(found->second);
    member.requests.erase(found);
    work.done({ .answered = false, .result = AttemptResult::Cancelled, .answeredId = {}, .refusal = action });
}

void VirtualFleet::deliver(std::size_t to, const peers::PeerMessage& message, Milliseconds delay)
{
    this->time.after(delay, [this, to, message] {
        const std::uint64_t life = this->members[to].life;
        this->forNode(to, life, [this, to, message] { this->handle(to, PeerMessageArrived{ .message = message }); });
    });
}

std::optional<std::size_t> VirtualFleet::nodeAt(const NetworkAddress& address) const
{
    for (std::size_t node = 0; node < this->members.size(); ++node) {
        if (this->members[node].address == address)
            return node;
    }
    return std::nullopt;
}

void VirtualFleet::execute(std::size_t index, const SendToPeer& action)
{
    const auto to = this->nodeAt(action.address);
    this->peerBytes += action.message.ByteSizeLong();
    if (!to)
        return;
    const bool isPassedOn
        = action.message.has_claim() && action.message.claim().claimant().number() != action.message.from().number();
    const Step step = stepOf(action.message, isPassedOn);
    const Fate fate = step == Step::Count ? Fate::Goes : this->reach(step, index);
    if (!this->isAlive(index) || fate == Fate::Lost || this->members[index].cutTo.contains(*to))
        return;
    Milliseconds delay = this->distance(this->members[index].dataCentre, this->members[*to].dataCentre);
    delay = delay * (1 + this->random.unit());
    this->deliver(*to, action.message, fate == Fate::Late ? LateBy : delay);
    if (fate == Fate::Twice)
        this->deliver(*to, action.message, delay * 3);
}

void VirtualFleet::execute(std::size_t index, const AskStore& action)
{
    const std::uint64_t life = this->members[index].life;
    const Fate fate = this->reach(stepOf(action.request), index);
    if (!this->isAlive(index))
        return;
    const auto answer = [this, index, life](const StoreAnswer& result) {
        this->forNode(index, life, [this, index, result] { this->handle(index, StoreAnswered{ .answer = result }); });
    };
    if (fate == Fate::Lost || this->members[index].cutFromStore) {
        const StoreAnswer unknown{
            .number = action.request.number, .status = StoreStatus::Unknown, .index = NoStoreIndex, .value = {}
        };
        this->time.after(Second, [answer, unknown] { answer(unknown); });
        return;
    }
    const auto call = [this, request = action.request, answer] { this->store.call(request, answer); };
    this->time.after(fate == Fate::Late ? LateBy : Milliseconds{}, call);
    if (fate == Fate::Twice)
        this->time.after(LateBy, call);
}

void VirtualFleet::execute(std::size_t index, const SendProbe& action)
{
    this->reach(Step::ProbeSent, index);
    if (!this->isAlive(index))
        return;
    const std::size_t target = this->backendAt(action.probe.address.port);
    const VirtualBackendServer& server = *this->backends[target];
    const std::uint64_t life = this->members[index].life;
    const Milliseconds way = this->distance(this->members[index].dataCentre, server.description().dataCentre);
    const Milliseconds wanted = this->options.probeCost * server.faults.slowness;
    const Milliseconds took = std::min(wanted, action.probe.timeout);
    ProbeEnded ended;
    ended.probe = action.probe.number;
    ended.answered = wanted <= action.probe.timeout && !server.faults.dead;
    ended.took = took + way * 2;
    this->time.after(way, [this, target, took] {
        this->probeTimes[target].push_back({ .from = this->time.now(), .to = this->time.now() + took });
    });
    this->time.after(took + way * 2, [this, index, life, target, ended]() mutable {
        const VirtualBackendServer& probed = *this->backends[target];
        ended.reportedInFlight = probed.faults.reportsIdle ? 0 : probed.load();
        ended.leaving = probed.leaving;
        this->forNode(index, life, [this, index, ended] {
            this->reach(Step::ProbeEnded, index);
            if (this->isAlive(index))
                this->handle(index, ended);
        });
    });
}

void VirtualFleet::execute(std::size_t index, const AnswerChange& action)
{
    Member& member = this->members[index];
    const auto found = member.calls.find(action.call);
    if (found == member.calls.end())
        return;
    const auto done = std::move(found->second);
    member.calls.erase(found);
    done(action.answer);
}

void VirtualFleet::request(std::size_t index, CallerWork work)
{
    if (!this->isAlive(index))
        return;
    const std::uint64_t life = this->members[index].life;
    this->forNode(index, life, [this, index, work = std::move(work)]() mutable {
        RequestArrived arrival = work.arrival;
        arrival.request = ++this->lastRequest;
        this->reach(work.runsOnce ? Step::RunOnceArrived : Step::MayRepeatArrived, index);
        if (!this->isAlive(index))
            return;
        this->members[index].requests.emplace(arrival.request, std::move(work));
        this->handle(index, arrival);
    });
}

void VirtualFleet::change(
    std::size_t index, const v1::ChangeRequest& request, std::function<void(const v1::ChangeAnswer&)> done)
{
    if (!this->isAlive(index))
        return;
    const std::uint64_t life = this->members[index].life;
    this->forNode(index, life, [this, index, request, done = std::move(done)]() mutable {
        this->reach(Step::ChangeAsked, index);
        if (!this->isAlive(index))
            return;
        const OperatorCallNumber call = ++this->lastCall;
        this->members[index].calls.emplace(call, std::move(done));
        this->handle(index, ChangeAsked{ .call = call, .request = request });
    });
}

void VirtualFleet::stop(std::size_t index)
{
    if (!this->isAlive(index))
        return;
    const std::uint64_t life = this->members[index].life;
    this->forNode(index, life, [this, index] {
        this->reach(Step::StopAsked, index);
        if (this->isAlive(index))
            this->handle(index, StopAsked{});
    });
}

void VirtualFleet::publishList()
{
    InstanceList next;
    next.index = this->list.index + 1;
    for (const Member& member : this->members)
        next.instances.push_back(
            { .name = member.name, .dataCentre = member.dataCentre, .address = member.address, .leaving = false });
    this->list = std::move(next);
}

void VirtualFleet::readDocument(std::size_t index, StoreDocument document)
{
    if (this->members[index].cutFromStore)
        return;
    const std::uint64_t life = this->members[index].life;
    const StoreRequest request{
        .number = 0, .operation = StoreOperation::Read, .document = document, .value = {}, .expectedIndex = NoStoreIndex
    };
    this->store.call(request, [this, index, life, document](const StoreAnswer& answer) {
        if (answer.status != StoreStatus::Done)
            return;
        this->forNode(index, life, [this, index, document, answer] {
            this->handle(index, StoreDocumentSeen{ .document = document, .value = answer.value });
        });
    });
}

void VirtualFleet::poll(std::size_t index)
{
    Member& member = this->members[index];
    const PlatformPlan plan = member.node->platformPlan();
    const Milliseconds now = this->time.now();
    if (now >= member.nextDocumentPoll) {
        // A watch returns from time to time without a change, and is set anew.
        constexpr Milliseconds watchAgain{ 1000 };
        member.nextDocumentPoll = now + (plan.watchesDocuments ? watchAgain : plan.documentPoll);
        const bool isSilent
            = plan.watchesDocuments && this->store.faults.watchSilent && this->node(index).configuration();
        if (!isSilent) {
            this->readDocument(index, StoreDocument::Configuration);
            this->readDocument(index, StoreDocument::Ownership);
        }
    }
    if (now < member.nextListPoll || member.cutFromStore || this->store.faults.down)
        return;
    member.nextListPoll = now + plan.listPoll;
    this->handle(index, InstanceListSeen{ .list = this->list });
}

void VirtualFleet::tick(std::size_t index, std::uint64_t life)
{
    this->forNode(index, life, [this, index, life] {
        this->poll(index);
        this->handle(index, Tick{});
        this->time.after(this->options.tick, [this, index, life] { this->tick(index, life); });
    });
}

}
