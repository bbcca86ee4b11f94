#pragma once

#include "Base/Random.h"
#include "Measurement/ProbeScheduler.h"
#include "Metrics/DecisionCounters.h"
#include "Node/Actions.h"
#include "Node/Events.h"
#include "Node/FleetControl.h"
#include "Node/PolicyFactory.h"
#include "Node/RequestFlow.h"

#include <cstdint>
#include <memory>
#include <string>

namespace burlreach {

class ActionOutbox;

/**
 * All decisions of one instance. Events go in together with the time, actions
 * come out; there is no socket, thread, clock or file inside. The daemon, the
 * tests, the fault matrix and the benchmarks drive the same object.
 */
class Node final : private ProbeAdviser {
public:
    struct Options {
        std::string name;
        std::string dataCentre;
        NetworkAddress peersAddress;
        std::uint64_t incarnation = 0; // higher than in every earlier life of this name
        std::uint64_t seed = 0;
        Milliseconds heartbeatInterval{ 500 };
        Milliseconds requestIdsKept{ 300000 };
        bool probes = true;
        bool hedges = true;
        std::shared_ptr<const PolicyFactory> policies; // null: the default policy
    };

    explicit Node(const Options& options);

    /** Appends what is to be done because of the event. */
    void handle(const Event& event, Milliseconds now, Actions& actions);

    /** True while new requests should be sent to this instance. */
    bool isReady() const;
    bool isStopping() const { return this->stopping; }
    /** True when nothing is left that a stop would cut or lose. */
    bool mayEnd() const;
    PlatformPlan platformPlan() const { return this->fleet.platformPlan(); }
    std::size_t openRequests() const { return this->flow.openRequests(); }
    const DecisionCounters& counters() const { return this->decisionCounters; }
    const v1::Configuration* configuration() const;
    const peers::Ownership& ownership() const { return this->fleet.ownership(); }
    std::size_t claimRecords() const { return this->fleet.claimLedger().recordCount(); }
    v1::ShowLoadAnswer showLoad(const std::string& service, Milliseconds now) const;

private:
    void dispatch(const RequestArrived& event, Milliseconds now, Actions& actions, Outbox& outbox);
    void dispatch(const RefusedEarly& event, Milliseconds now, Actions& actions, Outbox& outbox);
    void dispatch(const CallerGone& event, Milliseconds now, Actions& actions, Outbox& outbox);
    void dispatch(const AttemptEnded& event, Milliseconds now, Actions& actions, Outbox& outbox);
    void dispatch(const ProbeEnded& event, Milliseconds now, Actions& actions, Outbox& outbox);
    void dispatch(const PeerMessageArrived& event, Milliseconds now, Actions& actions, Outbox& outbox);
    void dispatch(const StoreAnswered& event, Milliseconds now, Actions& actions, Outbox& outbox);
    void dispatch(const StoreDocumentSeen& event, Milliseconds now, Actions& actions, Outbox& outbox);
    void dispatch(const InstanceListSeen& event, Milliseconds now, Actions& actions, Outbox& outbox);
    void dispatch(const BackendServerListedLeaving& event, Milliseconds now, Actions& actions, Outbox& outbox);
    void dispatch(const ChangeAsked& event, Milliseconds now, Actions& actions, Outbox& outbox);
    void dispatch(const InForceAsked& event, Milliseconds now, Actions& actions, Outbox& outbox);
    void dispatch(const StopAsked& event, Milliseconds now, Actions& actions, Outbox& outbox);
    void dispatch(const Tick& event, Milliseconds now, Actions& actions, Outbox& outbox);

    void peerMessage(const peers::PeerMessage& message, Milliseconds now, Actions& actions, Outbox& outbox);
    void configureProbes();
    bool mayProbe(const ProbeTarget& target, Milliseconds now) const override;
    Milliseconds loadKnownAt(const ProbeTarget& target) const override;
    std::shared_ptr<BackendServerState> serverOf(const ProbeTarget& target) const;

    bool probesAtAll;
    bool stopping = false;
    peers::Member self;
    Random random;
    DecisionCounters decisionCounters;
    ServiceTable services;
    LoadExchange loads;
    FleetControl fleet;
    RequestFlow flow;
    ProbeScheduler probes;
    std::uint32_t probesConfiguredFor = 0;
};

}
