#pragma once

#include "Base/Clock.h"
#include "Base/NetworkAddress.h"
#include "Peers/PeerLink.h"
#include "peers.pb.h"

#include <map>
#include <memory>

namespace burlreach {

/** Sends messages to other instances, on the control thread. */
class PeerClient {
public:
    PeerClient(asio::io_context& context, const Clock& clock, TrafficMetrics& metrics);

    void send(const NetworkAddress& address, const peers::PeerMessage& message);
    /** To be called a few times a second. */
    void tend();
    void close();

private:
    asio::io_context* context;
    const Clock* clock;
    TrafficMetrics* metrics;
    std::map<NetworkAddress, std::shared_ptr<PeerLink>> links;
};

}
