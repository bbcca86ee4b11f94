#pragma once

#include "Base/NetworkAddress.h"
#include "Metrics/TrafficMetrics.h"
#include "Peers/PeerMessageHandler.h"
#include "Peers/PeerServerSession.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <system_error>
#include <vector>

namespace burlreach {

/** Accepts connections from other instances, on the control thread. */
class PeerServer {
public:
    PeerServer(asio::io_context& context, PeerMessageHandler& handler, TrafficMetrics& metrics);

    /** A further connection takes the place of one that has sent no message yet, or else of the oldest one. */
    void setMaxSessions(std::size_t most) { this->maxSessions = most; }
    std::error_code listen(const NetworkAddress& address);
    void close();

private:
    void accept();
    void accepted(asio::ip::tcp::socket socket);
    void closeLeastUseful();

    asio::ip::tcp::acceptor acceptor;
    PeerMessageHandler* handler;
    TrafficMetrics* metrics;
    std::size_t maxSessions = 4000;
    std::vector<std::weak_ptr<PeerServerSession>> sessions; // from the oldest to the newest
};

}
