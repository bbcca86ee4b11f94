#pragma once

#include "Base/NetworkAddress.h"
#include "Metrics/TrafficMetrics.h"
#include "Peers/PeerMessageHandler.h"
#include "Peers/PeerServerSession.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <system_error>
#include <vector>

namespace burlreach {

/** Accepts connections from other instances, on the control thread. */
class PeerServer {
public:
    PeerServer(asio::io_context& context, PeerMessageHandler& handler, TrafficMetrics& metrics);

    std::error_code listen(const NetworkAddress& address);
    void close();

private:
    void accept();

    asio::ip::tcp::acceptor acceptor;
    PeerMessageHandler* handler;
    TrafficMetrics* metrics;
    std::vector<std::weak_ptr<PeerServerSession>> sessions;
};

}
