#include "Node/ActionOutbox.h"

#include <utility>

namespace burlreach {

ActionOutbox::ActionOutbox(Actions& givenActions, const peers::Member& givenSelf)
    : actions(&givenActions)
    , self(&givenSelf)
{
}

void ActionOutbox::askStore(StoreRequest request)
{
    this->actions->emplace_back(AskStore{ .request = std::move(request) });
}

void ActionOutbox::sendToPeer(const NetworkAddress& address, peers::PeerMessage message)
{
    message.set_version(PeerProtocolVersion);
    *message.mutable_from() = this->self->incarnation();
    const bool isOwn = address.host == this->self->address() && address.port == this->self->port();
    if (isOwn)
        this->ownMessages.push_back(std::move(message));
    else
        this->actions->emplace_back(SendToPeer{ .address = address, .message = std::move(message) });
}

}
