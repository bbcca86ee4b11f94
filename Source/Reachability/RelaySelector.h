#pragma once

#include "Base/Milliseconds.h"
#include "Base/NetworkAddress.h"
#include "Base/Random.h"
#include "Configuration/BackendServerRecord.h"
#include "peers.pb.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace burlreach {

/**
 * Chooses the instance through which a connection to a backend server is relayed, by what is known of the services
 * that each instance reaches: what it says of itself, and how earlier connections through it ended. Instances differ in
 * the services and servers that they reach, so nothing known about one service counts for another.
 *
 * Prefers instances that have just connected to the service, then those of the own data centre; of two drawn at random,
 * the one with fewer connections of this instance. What is known to fail is forgotten after a few seconds, because
 * paths come back.
 */
class RelaySelector {
public:
    struct Options {
        std::string instance; // own name, which is never chosen
        std::string dataCentre; // own
        Milliseconds forgetAfter{ 30000 }; // since the instance was last mentioned by gossip
        Milliseconds pauseAfterDecline{ 500 };
        /** How long it counts that an instance could be reached, or reaches a service or server, or that it does not.
         */
        Milliseconds trust{ 3000 };
        /** Servers of a service that an instance could not reach, with none reached since, from which it reaches none.
         */
        std::size_t failuresToGiveUp = 8;
        std::size_t mostInstances = 64;
        /** With fewer candidates than this in the own data centre, those of all data centres are used. */
        std::size_t fewestNear = 2;
        /** With fewer instances than this that have just connected to the service, others are tried as well. */
        std::size_t fewestProved = 3;
    };

    explicit RelaySelector(Options options);

    /** An instance described itself; ignored if it offers no relay. */
    void learn(const peers::Member& member, Milliseconds now);
    /** An instance that hears from all others knows of none that reaches the service with this short hash. */
    void learnUnreached(std::uint32_t service, Milliseconds now);
    /** The relay address to use, or nothing when no instance can be asked now. */
    std::optional<NetworkAddress> choose(const BackendServerRecord& server, Random& random, Milliseconds now) const;
    /** True when some instance that can be reached is not known to have no path to the service. */
    bool mayReach(const std::string& service, Milliseconds now) const;
    std::size_t candidateCount() const { return this->candidates.size(); }
    /** The number of candidates that are not known to have no path to the service. */
    std::size_t countReaching(const std::string& service, Milliseconds now) const;

    void connectionOpened(const NetworkAddress& relay);
    void connectionClosed(const NetworkAddress& relay);
    /** The relay has established a connection to the server. */
    void connected(const NetworkAddress& relay, const BackendServerRecord& server, Milliseconds now);
    /** The relay could not be reached or did not answer in time. */
    void foundSilent(const NetworkAddress& relay, Milliseconds now);
    /** The relay is stopping or full. */
    void foundDeclining(const NetworkAddress& relay, Milliseconds now);
    /** The relay has no path to the server. */
    void foundNoPath(const NetworkAddress& relay, const BackendServerRecord& server, Milliseconds now);
    /** The relay has no path to any server of the service. */
    void foundServiceUnreached(const NetworkAddress& relay, const std::string& service, Milliseconds now);

private:
    /** What is known of an instance's paths to the servers of one service. */
    struct Reach {
        Milliseconds connectedAt = LongAgo;
        Milliseconds unreachedAt = LongAgo; // it was last known to reach no server of the service
        std::map<std::string, Milliseconds> failures; // when it was found to have no path, by server
    };

    struct Candidate {
        NetworkAddress address;
        std::string dataCentre;
        Milliseconds mentionedAt;
        Milliseconds silentAt = LongAgo; // last time that it could not be reached
        Milliseconds pausedUntil = LongAgo;
        std::size_t connections = 0; // open through it from this instance
        std::map<std::uint32_t, Reach> services; // by short hash
    };
    using Choices = std::vector<const Candidate*>;

    bool isFresh(const Candidate& candidate, Milliseconds now) const;
    bool isSilent(const Candidate& candidate, Milliseconds now) const;
    bool mayReach(const Candidate& candidate, std::uint32_t service, Milliseconds now) const;
    bool reachesService(const Candidate& candidate, std::uint32_t service, Milliseconds now) const;
    bool reachesServer(const Candidate& candidate, const BackendServerRecord& server, Milliseconds now) const;
    bool hasJustConnected(const Candidate& candidate, std::uint32_t service, Milliseconds now) const;
    Candidate* byAddress(const NetworkAddress& address);

    Options options;
    std::map<std::string, Candidate, std::less<>> candidates; // by name of the instance
};

}
