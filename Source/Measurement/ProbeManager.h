#pragma once

#include "Base/LocalBudgetShare.h"
#include "Base/Milliseconds.h"
#include "Base/NetworkAddress.h"
#include "Base/Random.h"
#include "Routing/BackendServerState.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace burlreach {

using ProbeNumber = std::uint64_t;

/** A request that asks a backend server for its load. */
struct Probe {
    ProbeNumber number = 0;
    std::string backendServer;
    std::uint64_t life = 0; // of the server
    NetworkAddress address;
    std::string path;
    Milliseconds timeout;
};

/** The outcome of a probe. */
struct ProbeEnd {
    bool isAnswered = false;
    bool isOtherServer = false; // another backend server now has the address
    std::optional<ReportedLoad> load;
    std::optional<Milliseconds> coldRemaining; // as the server reported it; zero: it is warm
};

/**
 * Decides which probes may be sent before a backend server is chosen, and keeps track of those in flight.
 *
 * The budget is a number of probes a second per backend server for the whole fleet. Each instance uses its share of it,
 * so that a larger fleet does not send more probes. Most of the budget belongs to the instances in the server's own
 * data centre, because they send it most of its requests. There is at most one probe to a server in flight from an
 * instance; all requests that need the answer wait for that one.
 *
 * The share of an instance may be far less than one probe a second; LocalBudgetShare explains how it is spent.
 */
class ProbeManager {
public:
    struct Options {
        Milliseconds timeout{ 250 };
        double fleetPerSecond = 30; // probes of one backend server, from all instances together
        std::string dataCentre; // of this instance
        double nearShare = 0.6; // of the fleet's budget, for all instances in the server's own data centre
        double farShare = 0.2; // for all other instances; windowFor() explains the rest
    };

    ProbeManager(Options options, Random& random);

    /** Sets the known size of the fleet. Instances are assumed to be spread evenly over the data centres. */
    void setFleet(std::size_t instances, std::size_t dataCentres);

    /**
     * The probe to send. Nothing when the service has no probe path, a probe of the server is in flight, or `share` of
     * the budget is spent.
     */
    std::optional<Probe> start(
        const std::shared_ptr<BackendServerState>& server, const std::string& path, double share, Milliseconds now);
    bool isInFlight(const std::string& backendServer) const { return this->inFlight.contains(backendServer); }
    /** Ends a probe and returns the server that it was sent to; null when the probe is not known. */
    std::shared_ptr<BackendServerState> ended(ProbeNumber number);
    /** The server is gone or has restarted: no answer is awaited any more. */
    void forget(const std::string& backendServer);

private:
    /** This instance's share of the budget for the server, in probes a second. */
    double shareFor(const BackendServerState& server, double share) const;
    bool takeFromBudget(const BackendServerState& server, double share, Milliseconds now);

    Options options;
    Random* random;
    std::size_t instances = 1;
    std::size_t dataCentres = 1;
    ProbeNumber lastNumber = 0;
    LocalBudgetShare budget;
    std::unordered_map<std::string, ProbeNumber> inFlight;
    std::unordered_map<ProbeNumber, std::shared_ptr<BackendServerState>> serversByProbe;
};

}
