#include "Peers/PeerServerSession.h"

namespace burlreach {

PeerServerSession::PeerServerSession(
    asio::ip::tcp::socket givenSocket, PeerMessageHandler& givenHandler, TrafficMetrics& givenMetrics)
    : Http2Session(std::move(givenSocket), Side::Server, givenMetrics)
    , handler(&givenHandler)
    , metrics(&givenMetrics)
{
}

void PeerServerSession::bodyReceived(std::int32_t stream, std::span<const std::uint8_t> part)
{
    this->receivedBytes += part.size();
    if (this->receivedBytes > MaximumPeerMessageBytes) {
        ++this->metrics->peerMessagesInvalid;
        return this->close();
    }
    this->received[stream].append(part.begin(), part.end());
}

void PeerServerSession::requestEnded(std::int32_t stream)
{
    peers::PeerMessage message;
    const bool isValid = message.ParseFromString(this->received[stream]);
    this->messageCount += isValid ? 1 : 0;
    this->submitStatus(stream, isValid ? "204" : "400");
    if (isValid)
        this->handler->peerMessageReceived(std::move(message));
    else
        ++this->metrics->peerMessagesInvalid;
}

void PeerServerSession::streamClosed(std::int32_t stream)
{
    const auto found = this->received.find(stream);
    if (found == this->received.end())
        return;
    this->receivedBytes -= found->second.size();
    this->received.erase(found);
}

}
