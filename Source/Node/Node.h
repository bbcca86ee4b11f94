#pragma once

#include "Base/Random.h"
#include "Configuration/ChangeCoordinator.h"
#include "Configuration/StoreItemTranslator.h"
#include "Membership/FleetSize.h"
#include "Metrics/DecisionCounters.h"
#include "Node/Actions.h"
#include "Node/CrashRecorder.h"
#include "Node/CrashingRequestDetector.h"
#include "Node/Events.h"
#include "Node/FleetSizeRecorder.h"
#include "Node/GossipExchange.h"
#include "Node/LeavingSigns.h"
#include "Node/LoadView.h"
#include "Node/PathManager.h"
#include "Node/PolicyFactory.h"
#include "Node/QuotaManager.h"
#include "Node/RequestFlow.h"
#include "Node/RolloutManager.h"
#include "Node/ServerPauses.h"
#include "Node/ServerRateLimiter.h"
#include "Node/ServiceTable.h"
#include "Node/StoreSynchronizer.h"
#include "Node/TranslatedItem.h"

#include <cstdint>
#include <memory>
#include <string>

namespace burlreach {

/**
 * Makes all decisions of one instance.
 *
 * handle() takes an event and the current time and appends the resulting
 * actions. Node itself uses no socket, thread, clock or file, so the daemon, the
 * tests, the fault matrix and the benchmarks can all drive it.
 *
 * RequestFlow handles requests. StoreSynchronizer holds a copy of the store's items,
 * which are translated into the ServiceTable. GossipExchange sends and receives
 * the gossip updates that instances share.
 */
class Node final : private StoreListener, private ChangeListener {
public:
    struct Options {
        std::string name;
        std::string dataCentre;
        /** Processor time available to this instance, in percent of one processor; 0: unknown. */
        std::uint32_t capacity = 0;
        NetworkAddress peersAddress;
        NetworkAddress relayAddress; // accepts connections to relay; same host as peersAddress; port 0: none
        std::uint64_t incarnation = 0; // increases with each start of the instance of this name
        std::uint64_t seed = 0;
        std::vector<NetworkAddress> seeds; // instances to contact at start, to join the fleet
        RetryLimits retries;
        QuotaBound quotas;
        double probesPerSecond = 30; // to one backend server, from all instances together
        StoreReader::Options store; // `prefix` is overwritten with the translator's
        std::string changeKey; // store key of the document that operators' calls change; empty: calls are refused
        std::shared_ptr<const StoreItemTranslator> translator; // never null
        std::shared_ptr<const PolicyFactory> policies; // null: the default policy
        RequestFlow::Options requests;
    };

    explicit Node(const Options& options);

    /** Processes the event and appends the actions to perform. */
    void handle(const Event& event, Milliseconds now, Actions& actions);

    /** When the next RequestTimer or ControlTimer event is due. */
    Milliseconds nextRequestDue(Milliseconds now) const { return this->flow.nextDue(now); }
    Milliseconds nextControlDue() const;

    /** True while callers should send new requests to this instance. */
    bool isReady() const;
    bool isStopping() const { return this->stopping; }
    bool isWatching() const { return this->store.isWatching(); }
    std::size_t openRequests() const { return this->flow.openRequests(); }
    std::size_t instances(Milliseconds now) const { return this->gossip.instances(now); }
    /** Number of other instances that sent a message to this one recently. */
    std::size_t knownInstances() const { return this->gossip.knownInstances().size(); }
    const DecisionCounters& counters() const { return this->decisionCounters; }
    const ServiceTable& serviceTable() const { return this->services; }
    StoreRevision storeRevision() const { return this->store.view().revision(); }
    Milliseconds confirmedAt() const { return this->store.confirmedAt(); }
    v1::ShowLoadAnswer showLoad(const std::string& service, Milliseconds now) const
    {
        return describeLoad(this->services, service, now);
    }
    v1::ShowCrashingRequestsAnswer showCrashingRequests(Milliseconds now) const { return this->crashes.show(now); }
    v1::ShowCustomerAnswer showCustomer(const std::string& customer, Milliseconds now) const
    {
        return this->quotas.show(customer, now);
    }
    v1::ShowQuotasAnswer showQuotas(Milliseconds now) const { return this->quotas.showQuotas(now); }
    v1::ShowRolloutAnswer showRollout(const std::string& service, Milliseconds now) const
    {
        return this->rollouts.show(service, now);
    }
    /** The number of credit shares from which this instance grants credit for customers' requests. */
    std::size_t grantedShares(Milliseconds now) const { return this->quotas.grantedShares(now); }
    /** True when this instance grants the permits for requests to backend servers that have a request limit. */
    bool grantsPermits(Milliseconds now) const
    {
        return this->gossip.isWatching() && !this->gossip.firstOtherWatcher(now);
    }
    /** Number of requests during which backend servers crashed. */
    std::size_t crashingRequestCount() const { return this->crashes.size(); }

private:
    void dispatch(const RequestArrived& event, Milliseconds now, Actions& actions);
    void dispatch(const RefusedEarly& event, Milliseconds now, Actions& actions);
    void dispatch(const CallerGone& event, Milliseconds now, Actions& actions);
    void dispatch(const AnswerBegun& event, Milliseconds now, Actions& actions);
    void dispatch(const AttemptEnded& event, Milliseconds now, Actions& actions);
    void dispatch(const ServerNoticed& event, Milliseconds now, Actions& actions);
    void dispatch(const UnreadFieldSeen& event, Milliseconds now, Actions& actions);
    void dispatch(const ProbeEnded& event, Milliseconds now, Actions& actions);
    void dispatch(const ServerChecked& event, Milliseconds now, Actions& actions);
    void dispatch(const RelayAsked& event, Milliseconds now, Actions& actions);
    void dispatch(const RelayConnectFailed& event, Milliseconds now, Actions& actions);
    void dispatch(const PeerMessageArrived& event, Milliseconds now, Actions& actions);
    void dispatch(const StoreAnswered& event, Milliseconds now, Actions& actions);
    void dispatch(const ItemTranslated& event, Milliseconds now, Actions& actions);
    void dispatch(const SeedsChanged& event, Milliseconds now, Actions& actions);
    void dispatch(const ChangeAsked& event, Milliseconds now, Actions& actions);
    void dispatch(const InForceAsked& event, Milliseconds now, Actions& actions);
    void dispatch(const StopAsked& event, Milliseconds now, Actions& actions);
    void dispatch(const RequestTimer& event, Milliseconds now, Actions& actions);
    void dispatch(const ControlTimer& event, Milliseconds now, Actions& actions);

    void itemsChanged(
        std::span<const StoreItem> changes, ChangeSource source, Milliseconds now, Actions& actions) override;
    void changeAnswered(OperatorCallNumber call, const v1::ChangeAnswer& answer) override;
    /** A copy of the answer with secrets replaced by digests, which may be kept and sent to other instances. */
    StoreAnswer withoutSecrets(const StoreAnswer& answer) const;
    /** Applies the facts of a store item to this instance. */
    void apply(const TranslatedItem& item, Milliseconds now, Actions& actions);
    void applyRouting(const TranslatedItem& item, Milliseconds now, Actions& actions);
    void applyBackendServers(const TranslatedItem& item, Milliseconds now, Actions& actions);
    void applyDataCentres(const TranslatedItem& item, Milliseconds now, Actions& actions);
    /** Drops state and connections that the change makes invalid; returns the change's log record. */
    DecisionRecord handleBackendServerChange(const BackendServerChange& change, Milliseconds now, Actions& actions);
    /** Applies and logs the number of instances among which limits of the whole fleet are divided. */
    void updateFleetSize(Milliseconds now, Actions& actions);
    void recordFleetSize(Milliseconds now, Actions& actions);
    void callStore(Milliseconds now, Actions& actions);
    /** Sends new evidence about requests that crash servers to other instances and to the store. */
    void shareCrashes(Milliseconds now, Actions& actions);
    void applyStoredCrashes(const StoreItem& item, Milliseconds now, Actions& actions);
    void applyStoredFleetSize(const StoreItem& item, Milliseconds now, Actions& actions);
    void logStaleness(Milliseconds now, Actions& actions);
    void logWatching(Actions& actions);
    /** Stops unsent attempts to servers newly found to be leaving, and notifies other instances. */
    void shareLeavingSigns(Milliseconds now, Actions& actions);
    /** Sends limits named by servers to other instances, and continues requests that waited for permits. */
    void shareLimits(Milliseconds now, Actions& actions);
    /** Applies lost and restored paths to servers, requests and the messages to other instances. */
    void applyPathChanges(Milliseconds now, Actions& actions);

    Options options;
    bool stopping = false;
    StoreRevision routingRevision = 0; // of the store item with the configuration in force
    Random random;
    DecisionCounters decisionCounters;
    StoreCallNumbers storeCalls;
    NoticeRegistry notices;
    LimitRegistry limitRegistry;
    ServiceTable services;
    LeavingSigns signs;
    ServerPauses pauses;
    CrashingRequestDetector crashes;
    CrashRecorder crashRecorder;
    FleetSizeRecorder fleetSizeRecorder;
    StoreSynchronizer store;
    GossipExchange gossip;
    QuotaManager quotas;
    RolloutManager rollouts;
    ServerRateLimiter limits;
    PathManager paths;
    FleetSize fleetSize;
    FleetCount fleetCount; // in use
    ProbeManager probes;
    RequestFlow flow;
    ChangeCoordinator changes;
    std::vector<AnswerChange> pendingChangeAnswers; // appended to the actions at the end of the event
    bool isLargeBatch = false; // the items being applied are too many to log one line each
    bool wasWatching = false;
    bool wasStale = true;
};

}
