#pragma once

#include "Base/Random.h"
#include "Configuration/StoreItemTranslator.h"
#include "Exchange/Backoff.h"
#include "Node/Actions.h"
#include "Node/RequestState.h"
#include "Node/ServiceTable.h"
#include "Node/StoreSynchronizer.h"
#include "Rollouts/FleetEvidence.h"
#include "Rollouts/RolloutPlan.h"
#include "Store/StoreCallNumbers.h"

#include <google/protobuf/repeated_ptr_field.h>
#include <map>
#include <optional>
#include <string>

namespace burlreach {

class GossipExchange;

/**
 * Moves services to new versions as ordered by operators.
 *
 * Every instance counts good and bad answers of the present and the new version
 * by route and sends the counts to the other instances. The leading watcher
 * derives the next state of each roll-out from the sum (see RolloutPlan) and
 * writes it to the store, conditionally on the revision that it has read. Every
 * instance applies the last state that it knows to its choice of servers.
 */
class RolloutManager {
public:
    using Messages = google::protobuf::RepeatedPtrField<peers::RolloutEvidence>;

    struct Options {
        peers::Incarnation self;
        Milliseconds evaluationInterval{ 100 }; // between two evaluations by the leading watcher
        Milliseconds reportDelay{ 100 }; // longest delay of an urgent report to other instances
        Milliseconds silentAfter{ 4000 }; // instances silent for longer are taken to send no requests any more
        Milliseconds answerTimeout{ 1500 };
    };

    /** All must outlive this object. */
    struct Dependencies {
        ServiceTable* services = nullptr;
        const StoreSynchronizer* store = nullptr;
        const GossipExchange* gossip = nullptr;
        const StoreItemTranslator* translator = nullptr;
        StoreCallNumbers* storeCalls = nullptr;
        Random* random = nullptr;
    };

    RolloutManager(const Options& options, Dependencies parts);

    /** Takes over the operators' orders from a translated store item. */
    void updateOrders(const ConfigurationUpdate& facts, Milliseconds now, Actions& actions);
    /** Takes over the state of a roll-out from its store item. */
    void stateChanged(const StoreItem& item, Milliseconds now, Actions& actions);
    /** Updates the version rules of all services; to be called after services or backend servers have changed. */
    void updateVersionRules();

    /** True when the next request of the service should go to the new version. */
    bool selectTarget(ServiceState& service) const;
    /** Counts the result of an attempt. */
    void answered(const RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now);
    /** Counts an attempt as bad because its hedge answered first. */
    void overtaken(const RequestState& request, const Flight& flight, Milliseconds now);

    void appendEvidence(Messages& messages) const;
    void receive(const peers::Incarnation& from, const Messages& messages, Milliseconds now);
    /** When to send this instance's counts to others; Never when none are urgent. */
    Milliseconds nextReportAt() const { return this->reportAt; }
    void reportSent() { this->reportAt = Never; }

    v1::ShowRolloutAnswer show(const std::string& service, Milliseconds now) const;
    std::optional<StoreRequest> nextStoreCall(Milliseconds now);
    /** True when the answer belongs to a call of this object. */
    bool answered(const StoreAnswer& answer, Milliseconds now);
    std::optional<StoreItem> takeWritten() { return std::exchange(this->written, std::nullopt); }
    Milliseconds nextDue() const;

private:
    /** The last report of an instance. */
    struct Report {
        Milliseconds at = LongAgo;
        StoreRevision stateRevision = 0;
        std::uint32_t inFlight = 0; // attempts in flight at servers of the old version
    };

    struct Rollout {
        RolloutOrder order;
        Milliseconds orderedAt;
        std::optional<RolloutState> state;
        StoreRevision stateRevision = 0;
        Milliseconds stateSince;
        CountsByRoute own;
        FleetEvidence fleet;
        std::map<std::string, Report> lastReports; // by instance

        bool isOrdered() const { return this->order.number && !this->order.isWithdrawn; }
        /** True when the stored state belongs to the current order. */
        bool hasState() const { return this->state && this->state->order == this->order.number; }
        Milliseconds elapsed(Milliseconds now) const;
    };

    void count(const RequestState& request, const Flight& flight, bool isBadAnswer, Milliseconds now);
    void applyOrder(const RolloutOrder& order, Milliseconds now, Actions& actions);
    VersionRule ruleOf(const Rollout& rollout, const ServiceState& service) const;
    std::uint32_t inFlightAtOldVersion(const Rollout& rollout, const std::string& service) const;
    /** Slots of the new version's servers that take requests, relative to those of all other servers. */
    double targetCapacityOf(const Rollout& rollout, const std::string& service) const;
    bool isOldIdle(const Rollout& rollout, const std::string& service, Milliseconds now) const;
    std::optional<StoreRequest> nextCallFor(const std::string& service, Rollout& rollout, Milliseconds now);
    StoreRequest write(std::string key, std::string value);
    void scheduleReport(Milliseconds now);

    Options options;
    Dependencies dependencies;
    Backoff backoff;
    std::map<std::string, Rollout> rollouts; // by service
    Milliseconds reportAt = Never;
    Milliseconds nextEvaluationAt = LongAgo;
    StoreCallNumber pending = 0;
    StoreItem pendingItem;
    std::optional<StoreItem> written;
};

}
