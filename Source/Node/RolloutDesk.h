#pragma once

#include "Base/Random.h"
#include "Configuration/FactTranslator.h"
#include "Exchange/Backoff.h"
#include "Node/Actions.h"
#include "Node/RequestState.h"
#include "Node/ServiceTable.h"
#include "Node/StoreKeeper.h"
#include "Rollouts/FleetEvidence.h"
#include "Rollouts/RolloutPlan.h"
#include "Store/StoreCallNumbers.h"

#include <google/protobuf/repeated_ptr_field.h>
#include <map>
#include <optional>
#include <string>

namespace burlreach {

class NewsExchange;

/**
 * Brings services to new versions as operators order it. The state of each
 * roll-out lies in the store; the leading watcher writes it, under the condition
 * of the revision that it knows, by what all instances tell of the answers that
 * they saw. Every instance acts on the state that it knows.
 */
class RolloutDesk {
public:
    using Messages = google::protobuf::RepeatedPtrField<peers::RolloutEvidence>;

    struct Options {
        peers::Incarnation self;
        Milliseconds interval{ 100 }; // between two looks of the leading watcher
        Milliseconds tellInterval{ 100 }; // of what should be heard soon
        Milliseconds heardWithin{ 4000 }; // instances that are silent for longer send nothing any more
        Milliseconds answerTimeout{ 1500 };
    };

    /** All outlive this object. */
    struct Parts {
        ServiceTable* services = nullptr;
        const StoreKeeper* store = nullptr;
        const NewsExchange* news = nullptr;
        const FactTranslator* translator = nullptr;
        StoreCallNumbers* storeCalls = nullptr;
        Random* random = nullptr;
    };

    RolloutDesk(const Options& options, Parts parts);

    /** What operators ordered, as an item of the store says it. */
    void ordered(const Facts& facts, Milliseconds now, Actions& actions);
    /** The item holds the state of a roll-out. */
    void stateChanged(const StoreItem& item, Milliseconds now, Actions& actions);
    /** Services or backend servers changed: what is known of roll-outs holds for them. */
    void apply();

    /** True when the next request of the service is for the version that is tried. */
    bool takeTurn(ServiceState& service) const;
    /** An attempt has ended. */
    void answered(const RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now);
    /** An attempt took so long that a later one answered before it. */
    void overtaken(const RequestState& request, const Flight& flight, Milliseconds now);

    void fill(Messages& messages) const;
    void receive(const peers::Incarnation& from, const Messages& messages, Milliseconds now);
    /** When others should hear of what was seen here; Never when nothing is to be told at once. */
    Milliseconds nextTelling() const { return this->tellAt; }
    void told() { this->tellAt = Never; }

    v1::ShowRolloutAnswer show(const std::string& service, Milliseconds now) const;
    std::optional<StoreRequest> nextCall(Milliseconds now);
    /** True when the answer belonged to a call of this object. */
    bool answered(const StoreAnswer& answer, Milliseconds now);
    std::optional<StoreItem> takeWritten() { return std::exchange(this->written, std::nullopt); }
    Milliseconds nextDue() const;

private:
    /** What an instance told last. */
    struct Told {
        Milliseconds at = LongAgo;
        StoreRevision stateRevision = 0;
        std::uint32_t underWay = 0;
    };

    struct Rollout {
        RolloutOrder order;
        Milliseconds orderedAt;
        std::optional<RolloutState> state;
        StoreRevision stateRevision = 0;
        Milliseconds stateSince;
        CountsByRoute own;
        FleetEvidence fleet;
        std::map<std::string, Told> told; // by instance

        bool isOrdered() const { return this->order.number && !this->order.isWithdrawn; }
        /** The state belongs to the order that stands. */
        bool hasState() const { return this->state && this->state->order == this->order.number; }
        Milliseconds elapsed(Milliseconds now) const;
    };

    void count(const RequestState& request, const Flight& flight, bool isBadAnswer, Milliseconds now);
    void order(const RolloutOrder& order, Milliseconds now, Actions& actions);
    VersionRule ruleOf(const Rollout& rollout, const ServiceState& service) const;
    std::uint32_t underWayAtUsual(const Rollout& rollout, const std::string& service) const;
    /** The new version's servers that take requests, as a share of the others. */
    double capacityOf(const Rollout& rollout, const std::string& service) const;
    bool isOldIdle(const Rollout& rollout, const std::string& service, Milliseconds now) const;
    std::optional<StoreRequest> nextCallFor(const std::string& service, Rollout& rollout, Milliseconds now);
    StoreRequest write(std::string key, std::string value);
    void tellSoon(Milliseconds now);

    Options options;
    Parts parts;
    Backoff backoff;
    std::map<std::string, Rollout> rollouts; // by service
    Milliseconds tellAt = Never;
    Milliseconds lookAt = LongAgo;
    StoreCallNumber pending = 0;
    StoreItem writing;
    std::optional<StoreItem> written;
};

}
