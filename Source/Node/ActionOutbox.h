#pragma once

#include "Exchange/Outbox.h"
#include "Node/Actions.h"

#include <cstdint>
#include <deque>

namespace burlreach {

/** Turns what the parts want sent into actions; messages to itself come back. */
class ActionOutbox final : public Outbox {
public:
    ActionOutbox(Actions& actions, const peers::Member& self);

    void askStore(StoreRequest request) override;
    void sendToPeer(const NetworkAddress& address, peers::PeerMessage message) override;

    /** Messages that this instance sent to itself. */
    std::deque<peers::PeerMessage>& own() { return this->ownMessages; }

private:
    Actions* actions;
    const peers::Member* self;
    std::deque<peers::PeerMessage> ownMessages;
};

/** The version of the messages between instances. */
inline constexpr std::uint32_t PeerProtocolVersion = 1;

}
