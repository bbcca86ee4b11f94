#pragma once

#include "Base/DealtBudget.h"
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

/** A question to a backend server about its load. */
struct Probe {
    ProbeNumber number = 0;
    std::string backendServer;
    std::uint64_t life = 0; // of the server
    NetworkAddress address;
    std::string path;
    Milliseconds timeout;
};

/** What came of a probe. */
struct ProbeEnd {
    bool isAnswered = false;
    bool isOtherServer = false; // another backend server has the address now
    std::optional<LoadFigures> load;
    std::optional<Milliseconds> coldRemaining; // as it told; zero: it is warm
};

/**
 * Sends probes right before choices, within a budget.
 *
 * The budget is a number of probes a second for each backend server that the
 * whole fleet keeps: each instance takes its part of it, so a larger fleet
 * does not probe more. Most of it belongs to the instances in the server's own
 * data centre, which send it most of its requests. A server is never asked
 * twice at the same time; who needs its answer waits for the one that is under
 * way.
 *
 * An instance's part may be far less than a probe a second; see DealtBudget.
 */
class ProbeDesk {
public:
    struct Options {
        Milliseconds timeout{ 250 };
        double fleetPerSecond = 30; // of one backend server, all instances together
        std::string dataCentre; // of this instance
        double nearShare = 0.6; // of the fleet's budget, for the instances in the server's own data centre
        double farShare = 0.2; // for all others; see windowFor() for the rest
    };

    ProbeDesk(Options options, Random& random);

    /** The fleet as far as it is known; its instances are taken to be spread evenly. */
    void setFleet(std::size_t instances, std::size_t dataCentres);

    /** The probe to send, within a share of the budget, or nothing when one is under way or the budget is spent. */
    std::optional<Probe> start(
        const std::shared_ptr<BackendServerState>& server, const std::string& path, double share, Milliseconds now);
    bool isUnderWay(const std::string& backendServer) const { return this->underWay.contains(backendServer); }
    /** The server that the probe asked; null when it was not sent from here. */
    std::shared_ptr<BackendServerState> ended(ProbeNumber number);
    /** The server is gone or began anew: nothing is awaited of it. */
    void forget(const std::string& backendServer);

private:
    /** This instance's part of the budget for the server, in probes a second. */
    double partOf(const BackendServerState& server, double share) const;
    bool takeAllowance(const BackendServerState& server, double share, Milliseconds now);

    Options options;
    Random* random;
    std::size_t instances = 1;
    std::size_t dataCentres = 1;
    ProbeNumber last = 0;
    DealtBudget budget;
    std::unordered_map<std::string, ProbeNumber> underWay;
    std::unordered_map<ProbeNumber, std::shared_ptr<BackendServerState>> asked;
};

}
