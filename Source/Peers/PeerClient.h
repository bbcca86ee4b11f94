#pragma once

#include "Base/Clock.h"
#include "Base/NetworkAddress.h"
#include "Peers/PeerLink.h"
#include "peers.pb.h"

#include <map>
#include <memory>

namespace burlreach {

/** Sends messages to other instances over one PeerLink for each address, on the control thread. */
class PeerClient {
public:
    PeerClient(asio::io_context& context, const Clock& clock, TrafficMetrics& metrics);

    /** Sends a message, or drops and counts it if it is too large. */
    void send(const NetworkAddress& address, const peers::PeerMessage& message);
    /** Enforces the time limits of all links and removes idle ones; to be called a few times a second. */
    void closeIdleLinks();
    void close();

private:
    asio::io_context* context;
    const Clock* clock;
    TrafficMetrics* metrics;
    std::map<NetworkAddress, std::shared_ptr<PeerLink>> links;
};

}
