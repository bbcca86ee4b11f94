#pragma once

#include "Base/Random.h"
#include "Configuration/ChangeCoordinator.h"
#include "Configuration/FactTranslator.h"
#include "Membership/FleetSize.h"
#include "Metrics/DecisionCounters.h"
#include "Node/Actions.h"
#include "Node/CrashRecorder.h"
#include "Node/CrashingRequests.h"
#include "Node/Events.h"
#include "Node/LeavingSigns.h"
#include "Node/LoadView.h"
#include "Node/NewsExchange.h"
#include "Node/PolicyFactory.h"
#include "Node/QuotaDesk.h"
#include "Node/RequestFlow.h"
#include "Node/RolloutDesk.h"
#include "Node/ServerLimits.h"
#include "Node/ServerPauses.h"
#include "Node/ServiceTable.h"
#include "Node/StoreKeeper.h"
#include "Node/TranslatedItem.h"

#include <cstdint>
#include <memory>
#include <string>

namespace burlreach {

/**
 * All decisions of one instance. Events go in together with the time, actions
 * come out; there is no socket, thread, clock or file inside. The daemon, the
 * tests, the fault matrix and the benchmarks drive the same object.
 *
 * Requests: RequestFlow. What the store says: StoreKeeper, translated into
 * ServiceTable. What instances tell each other: NewsExchange.
 */
class Node final : private StoreListener, private ChangeListener {
public:
    struct Options {
        std::string name;
        std::string dataCentre;
        std::uint32_t capacity = 0; // its share of a processor, in percent; 0: not known
        NetworkAddress peersAddress;
        std::uint64_t incarnation = 0; // higher than in every earlier life of this name
        std::uint64_t seed = 0;
        std::vector<NetworkAddress> seeds; // instances to begin with
        RetryLimits retries;
        QuotaBound quotas;
        double probesPerSecond = 30; // of one backend server, all instances together
        StoreReader::Options store; // the prefix comes from the translator
        std::string changeKey; // of the document that operators' calls change; empty: they may not
        std::shared_ptr<const FactTranslator> translator; // never null
        std::shared_ptr<const PolicyFactory> policies; // null: the default policy
        RequestFlow::Options requests;
    };

    explicit Node(const Options& options);

    /** Appends what is to be done because of the event. */
    void handle(const Event& event, Milliseconds now, Actions& actions);

    /** When a RequestTimer or a ControlTimer is needed next. */
    Milliseconds nextRequestDue(Milliseconds now) const { return this->flow.nextDue(now); }
    Milliseconds nextControlDue() const;

    /** True while new requests should be sent to this instance. */
    bool isReady() const;
    bool isStopping() const { return this->stopping; }
    bool isWatching() const { return this->store.isWatching(); }
    std::size_t openRequests() const { return this->flow.openRequests(); }
    std::size_t instances(Milliseconds now) const { return this->news.instances(now); }
    const DecisionCounters& counters() const { return this->decisionCounters; }
    const ServiceTable& serviceTable() const { return this->services; }
    StoreRevision storeRevision() const { return this->store.view().revision(); }
    Milliseconds confirmedAt() const { return this->store.confirmedAt(); }
    v1::ShowLoadAnswer showLoad(const std::string& service, Milliseconds now) const
    {
        return loadView(this->services, service, now);
    }
    v1::ShowCrashingRequestsAnswer showCrashingRequests(Milliseconds now) const { return this->crashes.show(now); }
    v1::ShowCustomerAnswer showCustomer(const std::string& customer, Milliseconds now) const
    {
        return this->quotas.show(customer, now);
    }
    v1::ShowRolloutAnswer showRollout(const std::string& service, Milliseconds now) const
    {
        return this->rollouts.show(service, now);
    }
    /** How much credit for customers' requests this instance grants. */
    GrantMode grantMode(Milliseconds now) const { return this->quotas.mode(now); }
    /** This instance grants permits for requests to backend servers with a limit. */
    bool grantsPermits(Milliseconds now) const { return this->news.isWatching() && !this->news.firstOtherWatcher(now); }
    /** Requests under which servers ended. */
    std::size_t suspectedRequests() const { return this->crashes.size(); }

private:
    void dispatch(const RequestArrived& event, Milliseconds now, Actions& actions);
    void dispatch(const RefusedEarly& event, Milliseconds now, Actions& actions);
    void dispatch(const CallerGone& event, Milliseconds now, Actions& actions);
    void dispatch(const AttemptEnded& event, Milliseconds now, Actions& actions);
    void dispatch(const ServerNoticed& event, Milliseconds now, Actions& actions);
    void dispatch(const UnreadFieldSeen& event, Milliseconds now, Actions& actions);
    void dispatch(const ProbeEnded& event, Milliseconds now, Actions& actions);
    void dispatch(const ServerChecked& event, Milliseconds now, Actions& actions);
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
        std::span<const StoreItem> changes, FactSource source, Milliseconds now, Actions& actions) override;
    void changeAnswered(OperatorCallNumber call, const v1::ChangeAnswer& answer) override;
    /** The answer as it may be kept here and passed on. */
    StoreAnswer withoutSecrets(const StoreAnswer& answer) const;
    /** Brings what an item says into force. */
    void adopt(const TranslatedItem& item, Milliseconds now, Actions& actions);
    void adoptRouting(const TranslatedItem& item, Milliseconds now, Actions& actions);
    void adoptBackendServers(const TranslatedItem& item, Milliseconds now, Actions& actions);
    void adoptDataCentres(const TranslatedItem& item, Milliseconds now, Actions& actions);
    /** Does what follows from the change; gives its record. */
    DecisionRecord backendServerChanged(const BackendServerChange& change, Milliseconds now, Actions& actions);
    void askStore(Milliseconds now, Actions& actions);
    /** Tells others and the store what was learned of requests that crash servers. */
    void passOnCrashes(Milliseconds now, Actions& actions);
    void takeKeptCrashes(const StoreItem& item, Milliseconds now, Actions& actions);
    void noteStaleness(Milliseconds now, Actions& actions);
    void noteWatching(Actions& actions);
    /** Stops what is on its way to servers that were found to be leaving, and tells others. */
    void passOnLeaving(Milliseconds now, Actions& actions);
    /** Tells others of limits that servers named, and goes on with requests that waited for permits. */
    void passOnLimits(Milliseconds now, Actions& actions);

    Options options;
    bool stopping = false;
    StoreRevision routingRevision = 0; // of the item that holds the configuration in force
    Random random;
    DecisionCounters decisionCounters;
    StoreCallNumbers storeCalls;
    NoticeBook notices;
    LimitBook limitBook;
    ServiceTable services;
    LeavingSigns signs;
    ServerPauses pauses;
    CrashingRequests crashes;
    CrashRecorder crashRecorder;
    StoreKeeper store;
    NewsExchange news;
    QuotaDesk quotas;
    RolloutDesk rollouts;
    ServerLimits limits;
    FleetSize fleetSize;
    ProbeDesk probes;
    RequestFlow flow;
    ChangeCoordinator changes;
    std::vector<AnswerChange> changeAnswers; // to be given after the event
    bool hearsMany = false; // items are being adopted that are too many for a line each
    bool wasWatching = false;
    bool wasStale = true;
};

}
