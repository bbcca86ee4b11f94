#pragma once

#include "Peers/Http2Session.h"
#include "Peers/PeerMessageHandler.h"

#include <unordered_map>

namespace burlreach {

/**
 * A connection on which another instance sends its messages. Acknowledges a
 * readable message with status 204 and refuses any other with 400.
 */
class PeerServerSession final : public Http2Session {
public:
    PeerServerSession(asio::ip::tcp::socket socket, PeerMessageHandler& handler, TrafficMetrics& metrics);

    /** The number of readable messages received so far. */
    std::size_t messages() const { return this->messageCount; }

private:
    void bodyReceived(std::int32_t stream, std::span<const std::uint8_t> part) override;
    void requestEnded(std::int32_t stream) override;
    void streamClosed(std::int32_t stream) override;
    void sessionClosed() override { }

    PeerMessageHandler* handler;
    TrafficMetrics* metrics;
    std::unordered_map<std::int32_t, std::string> received; // bytes of the messages, by stream
    std::size_t messageCount = 0;
    std::size_t receivedBytes = 0; // of all open streams together; bounded by MaximumPeerMessageBytes
};

}
