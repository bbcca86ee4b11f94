#pragma once

#include "Base/Random.h"
#include "Rollouts/VersionRule.h"
#include "Routing/ColdStartShare.h"
#include "Routing/OutlierDetector.h"
#include "Routing/RoutingPolicy.h"
#include "Routing/SaturationEstimate.h"

#include <cstddef>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace burlreach {

/** Why no backend server could be chosen. */
enum class NoServerReason {
    Full, // some servers take requests, but none has a free slot now
    Slow, // some have free slots, but reported just now that work takes too long there
    NoRecentReport, // some may have free slots, but have not reported their load recently
    Paused, // all servers that take requests have asked for a pause
    Limited, // the servers that take requests have limits, and there is no permit for any of them
    AllLeaving, // all servers are draining or shutting down: none will take another request
    NoneAvailable // there are no servers, or they have been replaced or their data centre emptied
};

/** The chosen backend server, or the reason why there is none. */
struct ServerChoice {
    std::shared_ptr<BackendServerState> server;
    NoServerReason reason = NoServerReason::NoneAvailable;
};

/** What the chosen server must satisfy. */
struct SelectionCriteria {
    std::span<const std::shared_ptr<BackendServerState>> tried; // servers used before; others are preferred
    bool onlyUntried = false; // excludes the tried ones altogether
    bool mayUseTrialServers = true; // a backend server on trial after an ejection may be chosen
    /** Excludes servers that reported just now that work takes more than this many times as long as usual. */
    double maxWorkFactor = std::numeric_limits<double>::infinity();
    bool onlyWithRecentReport = false; // excludes servers without a recent load report, except those with a limit
    double slotShare = 1; // share of a server's usable slots that may be filled; lower for requests of low priority
};

/** Holds the backend servers of one service and chooses among them. */
class ServicePool {
public:
    struct Options {
        bool adaptive = true; // false: no limits per backend server and no ejections
    };

    ServicePool(std::unique_ptr<RoutingPolicy> policy, Options options);

    /**
     * Applies a record: adds a new life of a backend server in place of an earlier one, or updates the present life.
     */
    std::shared_ptr<BackendServerState> put(const BackendServerRecord& record, Milliseconds now);
    /** True when there are servers and each is draining or shutting down. */
    bool areAllLeaving() const;
    /**
     * When all servers that take requests have asked for a pause: the time at which the first pause ends. Otherwise
     * `now`.
     */
    Milliseconds pauseEnd(Milliseconds now) const;
    /**
     * When all servers that take requests and are not paused have a limit: the earliest time at which a permit may be
     * available for one of them. Otherwise `now`.
     */
    Milliseconds nextPermit(Milliseconds now) const;
    /** True when the server was in the pool. */
    bool remove(std::string_view id);
    void setConnectionShare(std::size_t share);
    void setVersionRule(VersionRule rule) { this->versions = std::move(rule); }
    const VersionRule& versionRule() const { return this->versions; }
    void setColdShare(const ColdStartShare::Options& share) { this->coldShare.configure(share); }
    /** True when no server takes requests and at least one is in an emptied data centre. */
    bool isEmptied() const;
    /** Counts a request that is sent to the server. */
    void sent(const BackendServerState& server, Random& random, Milliseconds now)
    {
        this->coldShare.sent(server, random, now);
    }

    ServerChoice choose(const SelectionCriteria& wish, const RoutingContext& context, Random& random);
    /**
     * Chooses among the servers with known room: a slot within the share of `wish` is free by a report of at most
     * 100 ms, after counting what this instance has sent there since. Slow servers are not excluded, and servers that
     * were tried before are used if no other has room. Null when no server has known room.
     *
     * With reports of up to 300 ms, the share of requests answered in time fell from 0.565 to 0.553 in the bench's
     * crowded-rush, and without the lower share for late callers to 0.491.
     */
    std::shared_ptr<BackendServerState> chooseWithKnownRoom(
        const SelectionCriteria& wish, const RoutingContext& context, Random& random);
    /** At most `most` servers that are worth probing before a choice, in order of their score, best first. */
    std::vector<std::shared_ptr<BackendServerState>> probeCandidates(
        std::size_t most, const RoutingContext& context, Random& random) const;
    /** Updates the slowdown estimate with an attempt that has ended at one of the backend servers. */
    void learn(const FinishedAttempt& flight);
    const SaturationEstimate& saturation() const { return this->saturationEstimate; }
    /** Ejects the backend server if it has failed too often; true when it was ejected. */
    bool checkOutlier(BackendServerState& server, Milliseconds now);

    std::shared_ptr<BackendServerState> find(std::string_view id) const;
    std::span<const std::shared_ptr<BackendServerState>> servers() const { return this->list; }
    /** Sum of the slots of all backend servers that take requests. */
    double slots() const;

private:
    /**
     * True when no request of this instance is in flight at any server, and no server has reported or refused a request
     * recently.
     */
    bool isInactive(Milliseconds now) const;
    bool hasCapacity(
        const BackendServerState& server, double requests, const SelectionCriteria& wish, Milliseconds now) const;
    bool hasKnownRoom(const BackendServerState& server, const SelectionCriteria& wish, Milliseconds now) const;
    NoServerReason reasonForNone(Milliseconds now) const;
    /** Which servers are eligible. */
    struct ServerFilter {
        std::span<const std::shared_ptr<BackendServerState>> excluded;
        bool withEjected = false;
        bool wantsTarget = false;
        bool withLimited = true; // includes servers with a limit that have a permit now
    };

    std::vector<BackendServerState*> eligibleServers(
        const SelectionCriteria& wish, const RoutingContext& context) const;
    std::vector<BackendServerState*> serversMatching(const ServerFilter& filter, Milliseconds now) const;

    Options options;
    std::unique_ptr<RoutingPolicy> policy;
    OutlierDetector outliers;
    SaturationEstimate saturationEstimate;
    ColdStartShare coldShare;
    VersionRule versions;
    std::size_t connectionShare = 16;
    std::vector<std::shared_ptr<BackendServerState>> list;
    std::map<std::string, std::shared_ptr<BackendServerState>, std::less<>> byId; // the servers of `list`
};

}
