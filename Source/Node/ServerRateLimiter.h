#pragma once

#include "Base/LocalBudgetShare.h"
#include "Base/Random.h"
#include "Limits/LimitRegistry.h"
#include "Limits/PermitSchedule.h"
#include "Metrics/DecisionCounters.h"
#include "Node/Actions.h"
#include "Node/Events.h"
#include "Node/ServiceState.h"
#include "peers.pb.h"

#include <cstddef>
#include <cstdint>
#include <google/protobuf/repeated_ptr_field.h>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace burlreach {

class GossipExchange;
class ServiceTable;

/**
 * Keeps the fleet within the rate limits that backend servers state in their
 * answers.
 *
 * A limit applies to all instances together. It is distributed to them with the
 * gossip updates. One instance, the first of those that watch the store, grants
 * permits, one for each request to a limited server. An instance that cannot
 * reach the granting one uses its share of a small fraction of the limit.
 *
 * A limit ends when a server answers a request sent after the limit became
 * known without stating one.
 */
class ServerRateLimiter {
public:
    using Messages = google::protobuf::RepeatedPtrField<peers::NamedLimit>;

    struct Options {
        peers::Member self;
        Milliseconds askTimeout{ 150 }; // time-out of a permit request: 40 ms inter-region round trip plus slow CPUs
        Milliseconds pauseAfterTimeout{ 300 }; // until a granting instance that did not answer is asked again
        /**
         * Delay before a new granting instance grants its first permit. Until all others know it, the previous one may
         * still grant; the slack in the limits covers what remains of that overlap.
         */
        Milliseconds takeOverDelay{ 500 };
        Milliseconds reportFor{ 3000 }; // older statements are not forwarded any more
        Milliseconds maxReportDelay{ 300 }; // random delay, so that one of many instances with the same report sends it
        double dealtShare = 0.1; // fraction of the limit that all instances share when none can be asked
        Milliseconds dealtWindow{ 4000 };
        double unknownFleetShare = 0.25; // fraction of the limit granted while the size of the fleet is unknown
    };

    /** All must outlive this object. */
    struct Dependencies {
        LimitRegistry* book = nullptr;
        const ServiceTable* services = nullptr;
        const GossipExchange* gossip = nullptr;
        Random* random = nullptr;
        DecisionCounters* counters = nullptr;
    };

    ServerRateLimiter(Options options, Dependencies parts);

    /** Handles the header fields of a server's answer, which may state a limit. */
    void handleNotice(const ServerNoticed& event, Milliseconds now, Actions& actions);
    /**
     * A server has answered completely a request sent at sentAt. Called after handleNotice() for the same answer, so a
     * limit that was not stated again has ended.
     */
    void answered(BackendServerState& server, Milliseconds sentAt, Milliseconds now, Actions& actions);

    /**
     * A request is queued for this service: asks for a permit if one may arrive while it waits. True when a permit is
     * available at once.
     */
    bool requestQueued(const ServiceState& service, Milliseconds patience, Milliseconds now, Actions& actions);
    /**
     * A request of this service starts. Asks for a permit for a server whose limit has not been confirmed for long, so
     * that an answer shows whether the limit still applies.
     */
    void requestStarted(const ServiceState& service, Milliseconds now, Actions& actions);

    void receive(const peers::PeerMessage& message, Milliseconds now, Actions& actions);
    /** Appends the recent limit statements: all known ones, or only those received from servers by this instance. */
    void appendLimitReports(Messages& messages, bool onlyHeardHere, Milliseconds now) const;
    /** Merges statements from another instance; isNews: with a gossip update, which goes to all instances. */
    void receive(const Messages& messages, bool isNews, Milliseconds now, Actions& actions);
    /** When to report new statements to other instances; Never when there are none. */
    Milliseconds nextReportAt() const { return this->unreported.empty() ? Never : this->reportAt; }
    void reportSent() { this->unreported.clear(); }
    /** True once after a change that may allow queued requests to be sent or refused. */
    bool takeChanged() { return std::exchange(this->changed, false); }

    void tick(std::optional<std::size_t> instancesAtLeast, Milliseconds now);

private:
    /** How this instance received a limit statement. */
    enum class Origin {
        Answer, // in an answer of the server
        Peer, // in a message from one other instance
        Gossip // in a gossip update, which goes to all instances
    };

    void handleChange(
        const std::string& backendServer, LimitChange change, Origin origin, Milliseconds now, Actions& actions);
    void scheduleReport(const std::string& backendServer, Milliseconds now);
    void apply(const std::string& backendServer, std::uint64_t life);
    /** The service's servers for which a permit may be requested; onlyOld: only those not confirmed for long. */
    std::vector<BackendServerState*> serversToAsk(const ServiceState& service, bool onlyOld, Milliseconds now) const;
    bool ask(BackendServerState& server, Milliseconds patience, Milliseconds now, Actions& actions);
    void askGrantingInstance(const peers::Member& granting, BackendServerState& server, const LimitReport& statement,
        Milliseconds patience, Milliseconds now, Actions& actions);
    /** Takes a permit from this instance's share of the limit, without asking the granting instance. */
    void takeSharedPermit(BackendServerState& server, Milliseconds now);
    PermitSchedule::Grant grant(const PermitSchedule::PermitRequest& wish, Milliseconds now);
    void applyGrant(BackendServerState& server, const PermitSchedule::Grant& grant, Milliseconds now) const;
    /** True when this instance is the granting one and its take-over delay has passed. */
    bool mayGrant(Milliseconds now);
    void handleAsk(const peers::PermitAsk& ask, Milliseconds now, Actions& actions);
    void answered(const peers::PermitAnswer& answer, Milliseconds now, Actions& actions);
    peers::NamedLimit messageOf(const std::string& backendServer, const LimitReport& statement, Milliseconds now) const;
    void mergeStatement(const peers::NamedLimit& message, Origin origin, Milliseconds now, Actions& actions);
    std::shared_ptr<BackendServerState> serverOf(const std::string& id, std::uint64_t life) const;

    Options options;
    Dependencies dependencies;
    PermitSchedule schedule;
    LocalBudgetShare localBudget;
    std::optional<std::size_t> instances; // lower bound of the fleet's size
    Milliseconds grantsFrom = Never; // Never: another instance grants
    std::uint64_t lastAsk = 0;
    std::set<std::string> unreported; // servers with a statement that has not been reported to other instances yet
    Milliseconds reportAt = Never;
    bool changed = false;
};

}
