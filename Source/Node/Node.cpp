#include "Node/Node.h"

#include "Node/ActionOutbox.h"
#include "Routing/LoadAwarePolicy.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

/** Grants are used for no longer than this share of the time claims are kept. */
constexpr double GrantShare = 0.5;

class DefaultPolicyFactory final : public PolicyFactory {
public:
    std::unique_ptr<RoutingPolicy> create() const override { return std::make_unique<LoadAwarePolicy>(); }
};

std::shared_ptr<const PolicyFactory> policiesOf(const Node::Options& options)
{
    return options.policies ? options.policies : std::make_shared<DefaultPolicyFactory>();
}

peers::Member memberOf(const Node::Options& options)
{
    peers::Member member;
    member.mutable_incarnation()->set_name(options.name);
    member.mutable_incarnation()->set_number(options.incarnation);
    member.set_address(options.peersAddress.host);
    member.set_port(options.peersAddress.port);
    member.set_data_centre(options.dataCentre);
    return member;
}

std::string stateOf(const BackendServerState& server, Milliseconds now)
{
    if (server.isDraining())
        return "draining";
    if (server.isLeaving())
        return "leaving";
    return server.isEjected(now) ? "ejected" : "taking";
}

}

Node::Node(const Options& options)
    : probesAtAll(options.probes)
    , self(memberOf(options))
    , random(options.seed)
    , services(policiesOf(options))
    , loads({ .instanceName = options.name }, this->services)
    , fleet({ .self = this->self,
                .heartbeatInterval = options.heartbeatInterval,
                .requestIdsKept = options.requestIdsKept },
          { .services = &this->services,
              .loads = &this->loads,
              .random = &this->random,
              .counters = &this->decisionCounters })
    , flow({ .dataCentre = options.dataCentre,
               .incarnation = options.incarnation,
               .grantValid = options.requestIdsKept * GrantShare,
               .hedges = options.hedges },
          { .services = &this->services,
              .loads = &this->loads,
              .claims = &this->fleet.claimClient(),
              .ledger = &this->fleet.claimLedger(),
              .random = &this->random,
              .counters = &this->decisionCounters })
    , probes({})
{
}

void Node::handle(const Event& event, Milliseconds now, Actions& actions)
{
    ActionOutbox outbox(actions, this->self);
    std::visit([&](const auto& item) { this->dispatch(item, now, actions, outbox); }, event);
    while (!outbox.own().empty()) {
        const peers::PeerMessage message = std::move(outbox.own().front());
        outbox.own().pop_front();
        this->peerMessage(message, now, actions, outbox);
    }
    this->configureProbes();
}

void Node::dispatch(const RequestArrived& event, Milliseconds now, Actions& actions, Outbox& outbox)
{
    this->flow.arrived(event, now, actions, outbox);
}

void Node::dispatch(const RefusedEarly& event, Milliseconds, Actions&, Outbox&)
{
    this->decisionCounters.add(event.reason);
    const bool isNotRun = outcomeWithoutClaim(event.hasRequestId) == RefusedOutcome::NotRun;
    this->decisionCounters.add(isNotRun ? DecisionCount::RefusedNotRun : DecisionCount::RefusedUnknown);
}

void Node::dispatch(const CallerGone& event, Milliseconds now, Actions& actions, Outbox& outbox)
{
    this->flow.callerGone(event, now, actions, outbox);
}

void Node::dispatch(const AttemptEnded& event, Milliseconds now, Actions& actions, Outbox& outbox)
{
    if (this->flow.attemptEnded(event, now, actions, outbox))
        this->fleet.tellSoon();
}

void Node::dispatch(const ProbeEnded& event, Milliseconds now, Actions&, Outbox&)
{
    const ProbeTarget* target = this->probes.ended(event.probe, event.took, now);
    if (!target)
        return;
    const auto server = this->serverOf(*target);
    if (!event.answered)
        this->decisionCounters.add(DecisionCount::ProbesFailed);
    if (!server || !event.answered)
        return;
    this->loads.reported(*server, event.reportedInFlight, now);
    const bool saysNew = event.leaving != server->isLeaving();
    if (saysNew && this->loads.leavingSign(*server, event.leaving, now))
        this->fleet.tellSoon();
}

void Node::dispatch(const PeerMessageArrived& event, Milliseconds now, Actions& actions, Outbox& outbox)
{
    this->peerMessage(event.message, now, actions, outbox);
}

void Node::peerMessage(const peers::PeerMessage& message, Milliseconds now, Actions& actions, Outbox& outbox)
{
    if (const peers::ClaimAnswer* answer = this->fleet.peerMessage(message, now, outbox, actions))
        this->flow.claimAnswered(*answer, now, actions, outbox);
}

void Node::dispatch(const StoreAnswered& event, Milliseconds now, Actions& actions, Outbox& outbox)
{
    this->fleet.storeAnswered(event.answer, now, outbox, actions);
}

void Node::dispatch(const StoreDocumentSeen& event, Milliseconds now, Actions& actions, Outbox& outbox)
{
    this->fleet.documentSeen(event, now, outbox, actions);
}

void Node::dispatch(const InstanceListSeen& event, Milliseconds, Actions&, Outbox&)
{
    this->fleet.listSeen(event.list);
}

void Node::dispatch(const BackendServerListedLeaving& event, Milliseconds now, Actions&, Outbox&)
{
    const auto service = this->services.byName(event.service);
    const auto server = service ? service->pool.find(event.backendServer) : nullptr;
    if (server && this->loads.leavingSign(*server, true, now))
        this->fleet.tellSoon();
}

void Node::dispatch(const ChangeAsked& event, Milliseconds now, Actions& actions, Outbox& outbox)
{
    this->fleet.changeAsked(event, now, outbox, actions);
}

void Node::dispatch(const InForceAsked& event, Milliseconds now, Actions& actions, Outbox& outbox)
{
    this->fleet.inForceAsked(event, now, outbox, actions);
}

void Node::dispatch(const StopAsked&, Milliseconds, Actions&, Outbox&)
{
    this->stopping = true;
    this->fleet.stopAsked();
}

void Node::dispatch(const Tick&, Milliseconds now, Actions& actions, Outbox& outbox)
{
    this->fleet.tick(now, outbox, actions);
    this->flow.tick(now, actions, outbox);
    if (!this->probesAtAll)
        return;
    for (Probe& probe : this->probes.tick(*this, now)) {
        this->decisionCounters.add(DecisionCount::ProbesSent);
        actions.emplace_back(SendProbe{ .probe = std::move(probe) });
    }
}

void Node::configureProbes()
{
    if (this->probesConfiguredFor == this->fleet.adoptions())
        return;
    this->probesConfiguredFor = this->fleet.adoptions();
    std::vector<ProbeTarget> targets;
    std::vector<bool> usedSlots(SlotCount, false);
    for (const auto& service : this->services.all()) {
        for (const auto& server : service->pool.servers()) {
            const std::size_t slot = slotOf(service->service.name() + "/" + server->name());
            usedSlots[slot] = true;
            targets.push_back({ .service = service->service.name(),
                .backendServer = server->name(),
                .address = server->address(),
                .slot = slot,
                .budgetPerSecond = service->limits.probeBudgetPerSecond });
        }
    }
    this->probes.configure(targets);
    this->fleet.setProbedSlots(std::move(usedSlots));
}

bool Node::mayProbe(const ProbeTarget& target, Milliseconds now) const
{
    return this->fleet.probePermits().mayProbe(target.slot, now);
}

Milliseconds Node::loadKnownAt(const ProbeTarget& target) const
{
    const auto server = this->serverOf(target);
    return server ? server->report().at : LongAgo;
}

std::shared_ptr<BackendServerState> Node::serverOf(const ProbeTarget& target) const
{
    const auto service = this->services.byName(target.service);
    return service ? service->pool.find(target.backendServer) : nullptr;
}

bool Node::isReady() const
{
    return !this->stopping && this->fleet.configurationState().revision() > 0;
}

bool Node::mayEnd() const
{
    return !this->flow.openRequests() && this->fleet.handedOver();
}

const v1::Configuration* Node::configuration() const
{
    return this->fleet.configurationState().current().get();
}

v1::ShowLoadAnswer Node::showLoad(const std::string& service, Milliseconds now) const
{
    v1::ShowLoadAnswer answer;
    const auto state = this->services.byName(service);
    if (!state) {
        v1::Finding* finding = answer.add_findings();
        finding->set_place("/service");
        finding->set_message("there is no service \"" + service + "\"; see the list of services");
        return answer;
    }
    for (const auto& server : state->pool.servers()) {
        v1::BackendServerLoad* load = answer.add_backend_servers();
        load->set_backend_server(server->name());
        load->set_data_centre(server->dataCentre());
        load->set_own_in_flight(static_cast<std::uint32_t>(server->inFlight()));
        load->set_state(stateOf(*server, now));
        load->set_response_milliseconds(server->serviceTime().value().count);
        if (server->report().at == LongAgo)
            continue;
        load->set_reported_in_flight(server->report().inFlight);
        load->set_report_age_milliseconds(static_cast<std::uint32_t>(std::max(0.0, (now - server->report().at).count)));
        load->set_report_origin(this->fleet.nameOfHash(server->report().origin));
    }
    return answer;
}

}
