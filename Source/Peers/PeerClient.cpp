#include "Peers/PeerClient.h"

#include "Peers/Http2Session.h"

namespace burlreach {

PeerClient::PeerClient(asio::io_context& givenContext, const Clock& givenClock, TrafficMetrics& givenMetrics)
    : context(&givenContext)
    , clock(&givenClock)
    , metrics(&givenMetrics)
{
}

void PeerClient::send(const NetworkAddress& address, const peers::PeerMessage& message)
{
    std::string bytes = message.SerializeAsString();
    if (bytes.size() > MaximumPeerMessageBytes) {
        ++this->metrics->peerMessagesDropped;
        return;
    }
    auto& link = this->links[address];
    if (!link)
        link = std::make_shared<PeerLink>(*this->context, *this->clock, address, PeerLink::Options{}, *this->metrics);
    link->send(std::move(bytes));
}

void PeerClient::closeIdleLinks()
{
    std::erase_if(this->links, [](const auto& item) {
        if (item.second->enforceTimeLimits())
            return false;
        item.second->close();
        return true;
    });
}

void PeerClient::close()
{
    for (const auto& [address, link] : this->links)
        link->close();
    this->links.clear();
}

}
