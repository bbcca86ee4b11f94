#pragma once

#include "Node/ServiceTable.h"
#include "peers.pb.h"

#include <cstddef>
#include <string>

namespace burlreach {

/**
 * Load reports and signs of leaving: heard from backend servers by this
 * instance, passed on to others in heartbeats, and taken from theirs. Each
 * figure keeps its origin, and its age counts from when the origin heard it.
 */
class LoadExchange {
public:
    struct Options {
        std::string instanceName;
        std::size_t figuresPerHeartbeat = 6;
        Milliseconds oldestFigure{ 1000 }; // older ones are not passed on
    };

    LoadExchange(Options options, const ServiceTable& services);

    void reported(BackendServerState& server, std::uint32_t inFlight, Milliseconds now) const;
    /** True when others should hear of it at once. */
    bool leavingSign(BackendServerState& server, bool leaving, Milliseconds at) const;

    void fill(peers::Heartbeat& heartbeat, Milliseconds now);
    /** True when a sign of leaving was news here. */
    bool receive(const peers::Heartbeat& heartbeat, Milliseconds now) const;

private:
    void fillSigns(peers::Heartbeat& heartbeat, Milliseconds now) const;
    void fillFigures(peers::Heartbeat& heartbeat, Milliseconds now);
    std::shared_ptr<BackendServerState> find(const std::string& service, const std::string& server) const;
    std::shared_ptr<BackendServerState> findByHash(std::uint32_t hash) const;

    Options options;
    const ServiceTable* services;
    std::uint32_t ownHash;
    std::size_t nextFigure = 0; // where the next heartbeat goes on
};

}
