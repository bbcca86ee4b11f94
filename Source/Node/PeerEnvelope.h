#pragma once

#include "Node/Actions.h"

namespace burlreach {

/** Wraps the message with the protocol version and its sender, for delivery to the address. */
SendToPeer makeSendToPeer(const NetworkAddress& address, const peers::Incarnation& from, peers::PeerMessage message);

}
