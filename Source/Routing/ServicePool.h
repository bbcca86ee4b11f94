#pragma once

#include "Base/Random.h"
#include "Rollouts/VersionRule.h"
#include "Routing/ColdStartShare.h"
#include "Routing/CrowdingEstimate.h"
#include "Routing/OutlierDetector.h"
#include "Routing/RoutingPolicy.h"

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

/** Why there was no backend server to choose. */
enum class NoChoice {
    Full, // some take requests, but none has room now
    Slow, // some have room, but said a moment ago that work takes too long there
    Unheard, // others may have room, but were not heard lately
    Paused, // all that would take a request have asked for a pause
    Limited, // those that would take a request have named limits, and there is no permit for any
    AllLeave, // each that is there is draining or leaving: none will take a request any more
    NobodyTakes // none is there, or those that are have been replaced or emptied
};

/** A chosen backend server, or why there is none. */
struct Choice {
    std::shared_ptr<BackendServerState> server;
    NoChoice reason = NoChoice::NobodyTakes;
};

/** What a choice is for. */
struct ChoiceWish {
    std::span<const std::shared_ptr<BackendServerState>> tried; // others are preferred
    bool onlyUntried = false;
    bool mayTry = true; // a backend server on trial may be given the request
    double longestWork = std::numeric_limits<double>::infinity(); // times as long as usual, as servers told it just now
    bool onlyHeard = false; // backend servers that told their load lately
    double limitShare = 1; // of the requests that a server should be given at once; less: others go first
};

/** The backend servers of one service and the choice among them. */
class ServicePool {
public:
    struct Options {
        bool adaptive = true; // limits for each backend server, ejections
    };

    ServicePool(std::unique_ptr<RoutingPolicy> policy, Options options);

    /** Adds a life of a backend server, in place of an earlier one, or takes over its changed record. */
    std::shared_ptr<BackendServerState> put(const BackendServerRecord& record, Milliseconds now);
    /** Servers are there, and each is draining or leaving. */
    bool areAllLeaving() const;
    /** When the first of them may be sent something again, where all that take requests have asked for a pause; else
     * now. */
    Milliseconds pauseEnd(Milliseconds now) const;
    /** Where each that takes requests has named a limit: when there may be a permit for one; else now. */
    Milliseconds nextPermit(Milliseconds now) const;
    /** True when it was there. */
    bool remove(std::string_view id);
    void setConnectionShare(std::size_t share);
    void setVersionRule(VersionRule rule) { this->versions = std::move(rule); }
    const VersionRule& versionRule() const { return this->versions; }
    void setColdShare(const ColdStartShare::Options& share) { this->coldShare.configure(share); }
    /** Some would take requests, but all these stand in emptied data centres. */
    bool isEmptied() const;
    /** A request is sent to the server. */
    void sent(const BackendServerState& server, Random& random, Milliseconds now)
    {
        this->coldShare.sent(server, random, now);
    }

    Choice choose(const ChoiceWish& wish, const RoutingContext& context, Random& random);
    /** Those whose load is worth knowing before a choice, the best by what is known first. */
    std::vector<std::shared_ptr<BackendServerState>> worthKnowing(
        std::size_t most, const RoutingContext& context, Random& random) const;
    /** An attempt at one of its backend servers has ended. */
    void learn(const EndedFlight& flight);
    const CrowdingEstimate& crowding() const { return this->crowdingEstimate; }
    /** Ejects the backend server when it has failed too often; true if so. */
    bool checkOutlier(BackendServerState& server, Milliseconds now);

    std::shared_ptr<BackendServerState> find(std::string_view id) const;
    std::span<const std::shared_ptr<BackendServerState>> servers() const { return this->list; }
    /** Slots of all backend servers that take requests. */
    double slots() const;

private:
    /** Nothing is under way at any server, and none was heard lately. */
    bool isSilent(Milliseconds now) const;
    bool hasRoom(const BackendServerState& server, double requests, const ChoiceWish& wish, Milliseconds now) const;
    NoChoice whyNobody(Milliseconds now) const;
    /** Which servers a filter leaves. */
    struct Sieve {
        std::span<const std::shared_ptr<BackendServerState>> without;
        bool withEjected = false;
        bool wantsTarget = false;
        bool withLimited = true; // those that have named a limit, if a request may be sent now
    };

    std::vector<BackendServerState*> takers(const ChoiceWish& wish, const RoutingContext& context) const;
    std::vector<BackendServerState*> filter(const Sieve& sieve, Milliseconds now) const;

    Options options;
    std::unique_ptr<RoutingPolicy> policy;
    OutlierDetector outliers;
    CrowdingEstimate crowdingEstimate;
    ColdStartShare coldShare;
    VersionRule versions;
    std::size_t connectionShare = 16;
    std::vector<std::shared_ptr<BackendServerState>> list;
    std::map<std::string, std::shared_ptr<BackendServerState>, std::less<>> byId; // the same
};

}
