#include "Node/PeerEnvelope.h"

#include "Membership/MemberTable.h"

#include <utility>

namespace burlreach {

SendToPeer makeSendToPeer(const NetworkAddress& address, const peers::Incarnation& from, peers::PeerMessage message)
{
    message.set_version(PeerProtocolVersion);
    *message.mutable_from() = from;
    return { .address = address, .message = std::move(message) };
}

}
