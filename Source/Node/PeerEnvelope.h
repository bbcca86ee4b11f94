#pragma once

#include "Node/Actions.h"

namespace burlreach {

/** A message of this instance to the one at the address. */
SendToPeer addressedTo(const NetworkAddress& address, const peers::Incarnation& from, peers::PeerMessage message);

}
