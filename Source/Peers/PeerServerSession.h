#pragma once

#include "Peers/Http2Session.h"
#include "Peers/PeerMessageHandler.h"

#include <unordered_map>

namespace burlreach {

/** A connection on which another instance sends its messages. */
class PeerServerSession final : public Http2Session {
public:
    PeerServerSession(asio::ip::tcp::socket socket, PeerMessageHandler& handler, TrafficMetrics& metrics);

private:
    void bodyReceived(std::int32_t stream, std::span<const std::uint8_t> part) override;
    void requestEnded(std::int32_t stream) override;
    void streamClosed(std::int32_t stream) override;
    void sessionClosed() override { }

    PeerMessageHandler* handler;
    TrafficMetrics* metrics;
    std::unordered_map<std::int32_t, std::string> received;
    std::size_t receivedBytes = 0; // of all messages that are not yet whole
};

}
