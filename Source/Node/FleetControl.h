#pragma once

#include "Base/Random.h"
#include "Configuration/ChangeCoordinator.h"
#include "Configuration/ConfigurationState.h"
#include "Membership/FailureDetector.h"
#include "Membership/MemberDirectory.h"
#include "Membership/Overlay.h"
#include "Metrics/DecisionCounters.h"
#include "Node/Actions.h"
#include "Node/Events.h"
#include "Node/InForceInquiry.h"
#include "Node/LoadExchange.h"
#include "Node/ServiceTable.h"
#include "Ownership/ClaimClient.h"
#include "Ownership/ClaimLedger.h"
#include "Ownership/OwnershipProposer.h"
#include "Ownership/ProbePermits.h"

#include <memory>
#include <string>
#include <vector>

namespace burlreach {

/** How this instance should use the platform's service just now. */
struct PlatformPlan {
    bool watchesDocuments = true; // else it polls them
    Milliseconds documentPoll{ 30000 };
    Milliseconds listPoll{ 2000 };
};

/**
 * What the instances of the fleet agree on: the configuration in force, who is
 * a member, who owns which request ids. Documents are read from the platform's
 * service by a few instances and pulled from each other by the rest.
 */
class FleetControl final : private ChangeListener, private OwnershipListener {
public:
    struct Options {
        peers::Member self;
        Milliseconds heartbeatInterval{ 500 };
        Milliseconds requestIdsKept{ 300000 };
    };

    struct Parts {
        ServiceTable* services = nullptr;
        LoadExchange* loads = nullptr;
        Random* random = nullptr;
        DecisionCounters* counters = nullptr;
    };

    FleetControl(Options options, Parts parts);

    /** Gives the claim answer in the message, if it carries one. */
    const peers::ClaimAnswer* peerMessage(
        const peers::PeerMessage& message, Milliseconds now, Outbox& outbox, Actions& actions);
    void storeAnswered(const StoreAnswer& answer, Milliseconds now, Outbox& outbox, Actions& actions);
    void documentSeen(const StoreDocumentSeen& event, Milliseconds now, Outbox& outbox, Actions& actions);
    void listSeen(const InstanceList& list);
    void changeAsked(const ChangeAsked& event, Milliseconds now, Outbox& outbox, Actions& actions);
    void inForceAsked(const InForceAsked& event, Milliseconds now, Outbox& outbox, Actions& actions);
    void stopAsked();
    /** Others should hear at once what the next heartbeat would tell them. */
    void tellSoon() { this->isNews = true; }
    void tick(Milliseconds now, Outbox& outbox, Actions& actions);

    ClaimClient& claimClient() { return this->claims; }
    const ClaimLedger& claimLedger() const { return this->ledger; }
    const ProbePermits& probePermits() const { return this->permits; }
    void setProbedSlots(std::vector<bool> used) { this->permits.setUsedSlots(std::move(used)); }
    const ConfigurationState& configurationState() const { return this->configuration; }
    const peers::Ownership& ownership() const { return *this->currentOwnership; }
    std::size_t members() const;
    /** The instance whose name has this short hash; empty when it is not known. */
    std::string nameOfHash(std::uint32_t hash) const;
    PlatformPlan platformPlan() const;
    /** True when this instance owns nothing and may end without loss. */
    bool handedOver() const;
    /** Grows with each adopted configuration. */
    std::uint32_t adoptions() const { return this->adoptionCount; }

private:
    /** Lets the listener calls reach the outbox and actions of the present event. */
    class Scope;

    void configurationCommitted(const v1::Configuration& configuration) override;
    void changeAnswered(OperatorCallNumber call, const v1::ChangeAnswer& answer) override;
    std::vector<std::string> instancesBelow(std::uint32_t revision) const override;
    void queryInForce(const std::string& instance, std::uint32_t revision) override;
    void ownershipRead(const peers::Ownership& ownership) override;

    void heartbeat(const peers::PeerMessage& message, Milliseconds now, Outbox& outbox);
    void reports(const peers::Heartbeat& heartbeat, const peers::Incarnation& from, Milliseconds now, Outbox& outbox);
    void pull(const peers::Incarnation& from, Milliseconds now, Outbox& outbox);
    void pushDocuments(const peers::DocumentsPull& pull, const peers::Incarnation& to, Outbox& outbox) const;
    void documentsPushed(const peers::DocumentsPush& push);
    void queried(
        const peers::ConfigurationQuery& query, const peers::Incarnation& from, Milliseconds now, Outbox& outbox);
    void adoptConfiguration(const v1::Configuration& next);
    void adoptOwnership(const peers::Ownership& next);
    void configureServices();

    void sendHeartbeats(Milliseconds now, Outbox& outbox);
    void sendReports(Milliseconds now, Outbox& outbox);
    peers::PeerMessage newHeartbeat(Milliseconds now, bool introduces) const;
    void reportToSelf(const std::vector<peers::Incarnation>& suspected,
        const std::vector<peers::SlotVersion>& completed, Milliseconds now, Outbox& outbox);
    void escalate(Milliseconds now, Outbox& outbox);
    std::vector<peers::Member> firstCoordinators(std::size_t count, Milliseconds now) const;
    std::vector<peers::Member> listedMembers() const;
    OwnershipView view(Milliseconds now) const;
    bool isMember() const;
    void sendTo(const peers::Incarnation& to, peers::PeerMessage message, Outbox& outbox) const;

    Options options;
    Parts parts;
    StoreCallNumbers storeCalls;
    ConfigurationState configuration;
    std::shared_ptr<const peers::Ownership> currentOwnership;
    MemberDirectory directory;
    Overlay overlay;
    FailureDetector detector;
    OwnershipProposer proposer;
    ClaimLedger ledger;
    ClaimClient claims;
    ProbePermits permits;
    ChangeCoordinator changes;
    InForceInquiry inquiries;
    Scope* scope = nullptr;
    std::uint32_t adoptionCount = 0;
    bool isNews = false;
    unsigned heartbeatCount = 0;
    bool isStopping = false;
    Milliseconds nextProposal = LongAgo;
    Milliseconds nextHeartbeat = LongAgo;
    Milliseconds lastHeartbeat = LongAgo;
    Milliseconds lastPull = LongAgo;
    Milliseconds reportsSince = Never;
};

}
