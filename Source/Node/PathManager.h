#pragma once

#include "Base/Random.h"
#include "Metrics/DecisionCounters.h"
#include "Node/Actions.h"
#include "Node/Events.h"
#include "Node/RequestState.h"
#include "Node/ServiceTable.h"
#include "Reachability/PathMonitor.h"
#include "Reachability/RelaySelector.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace burlreach {

/**
 * Decides whether connections to a backend server are opened directly or relayed through another instance, and
 * whether this instance relays a connection for another one.
 *
 * A relay only forwards bytes. All decisions about the request stay with the instance that received it, so that the
 * request has one owner, one deadline and one budget.
 */
class PathManager {
public:
    struct Options {
        std::uint64_t seed = 0;
        RelaySelector::Options relays;
        PathMonitor::Options paths;
        Milliseconds refusalValidity{ 1000 }; // after this time without confirmation a refused connection means nothing
        std::size_t witnesses = 3; // other servers that are checked when one refuses a connection
        std::size_t checksPerFailure = 4; // other servers of a service that are checked when its paths may be lost
        std::size_t checksPerOtherService = 2; // servers of each other service that are checked then
        std::size_t failuresToCheckOthers = 2; // failed servers of a service after which its others are checked
        Milliseconds inferenceCheckInterval{ 500 }; // between checks of servers whose lost path is only inferred
        std::size_t inferenceChecks = 8; // such servers that are checked at a time
        /** An instance that reached a service within this time knows that its own path works. */
        Milliseconds pathKnownFor{ 500 };
        Milliseconds recordInterval{ 1000 }; // between log records of lost and restored paths
    };

    /** Collaborators; all must outlive this object. */
    struct Dependencies {
        const ServiceTable* services = nullptr;
        DecisionCounters* counters = nullptr;
    };

    PathManager(Options options, Dependencies parts);

    /** The instance through which to connect to the server now; nothing: connect directly. */
    std::optional<NetworkAddress> relayFor(const BackendServerState& server, Milliseconds now) const;
    /** Describes what is known of the service's reachability, for a log line about it. */
    DecisionRecord withEvidence(DecisionRecord record, const std::string& service, Milliseconds now) const;
    /** True when no server of the service can be reached, directly or through another instance. */
    bool isUnreachable(const ServiceState& service, Milliseconds now) const;
    /** True when the attempt failed because of the path or the relay, so that the failure says nothing of the server.
     */
    bool isPathFailure(const Flight& flight, const AttemptEnd& end) const;

    void attemptSent(const Flight& flight);
    /** The attempt has ended or was cancelled. */
    void attemptEnded(const Flight& flight, const AttemptEnd& end, Milliseconds now, Actions& actions);
    /** The attempt was not answered within the usual time: checks the path, unless the service has answered since. */
    void attemptSilent(const Flight& flight, Milliseconds now, Actions& actions);
    /** A check has ended; its meaning for the server's process follows from takeFindings(). */
    void checkEnded(const ServerChecked& event, Milliseconds now, Actions& actions);
    /**
     * What checks have shown about servers' processes. A refused connection means that the process has ended only once
     * this instance has reached another server since: where its path is cut, connections to all servers are refused.
     */
    std::vector<ServerChecked> takeFindings();
    void relayAsked(const RelayAsked& event, bool isStopping, Actions& actions);
    /** This instance could not connect to the server for another one: answers whose failure it is. */
    void relayFailed(const RelayConnectFailed& event, Milliseconds now, Actions& actions);
    /** Learns which instances offer to relay. */
    void receive(const peers::PeerMessage& message, Milliseconds now);
    /** The server has left or has a new life. */
    void forget(const std::string& backendServer) { this->monitor.forget(backendServer); }

    /** Starts checks that are due. */
    void tick(Milliseconds now, Actions& actions);
    Milliseconds nextDue() const;
    /** Short hashes of the services of which this instance reaches no server directly. */
    const std::vector<std::uint32_t>& unreachedServices();
    /** Applies newly lost and restored paths; returns the servers whose path is newly lost. */
    std::vector<std::string> applyChanges(Milliseconds now, Actions& actions);

private:
    void recordSuccess(const BackendServerRecord& server, Milliseconds now);
    void serverRefused(const BackendServerState& server, Milliseconds now, Actions& actions);
    void relayedCheckEnded(const ServerChecked& event, Milliseconds now, Actions& actions);
    /** A few other servers of the service, or else of any service, that are not suspect. */
    std::vector<std::shared_ptr<BackendServerState>> findWitnesses(const BackendServerState& server) const;
    void settleRefusingServers(Milliseconds now);
    void directFailed(const BackendServerRecord& server, Milliseconds now, Actions& actions);
    /** Another instance connected to the server. */
    void reachedElsewhere(const BackendServerState& server, Milliseconds now, Actions& actions);
    /** Asks another instance to connect to the server. */
    void askAnother(const BackendServerRecord& server, Milliseconds now, Actions& actions);
    /** Learns from the end of a connection through a relay, of an attempt or a check. */
    void relayedEnded(
        const NetworkAddress& relay, const BackendServerRecord& server, ConnectOutcome outcome, Milliseconds now);
    /** Checks some servers of the service that have not failed yet. */
    void checkOthers(const ServiceState& service, std::size_t most, Milliseconds now, Actions& actions);
    void checkAllServices(const std::string& except, Milliseconds now, Actions& actions);
    void checkInferred(Milliseconds now, Actions& actions);
    /** Why this instance does not relay to a server to which its connection ended like this. */
    RelayRefusal refusalAfter(ConnectOutcome outcome, const BackendServerRecord& server, Milliseconds now) const;
    std::size_t sizeOf(const std::string& service) const;
    void recordChanges(Milliseconds now, Actions& actions);

    Options options;
    Dependencies dependencies;
    mutable Random random; // of its own, so that the choices of other components do not depend on failures here
    PathMonitor monitor;
    RelaySelector relays;
    std::uint64_t appliedGeneration = 0;
    std::uint64_t unreachedGeneration = 0;
    std::vector<std::uint32_t> unreached; // short hashes, as of that generation
    Milliseconds nextInferenceCheck = LongAgo;
    /** Changes since the last log record of them. */
    struct {
        std::size_t lost = 0;
        std::size_t restored = 0;
        std::string exampleLost;
        Milliseconds recordedAt = LongAgo;
    } unrecorded;
    std::map<std::string, Milliseconds> refusing; // when servers refused a connection for reasons not yet known, by id
    std::vector<ServerChecked> findings;
    std::set<std::string> lost; // servers to which connections are relayed
};

}
