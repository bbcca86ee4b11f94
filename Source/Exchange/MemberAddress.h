#pragma once

#include "Base/NetworkAddress.h"
#include "peers.pb.h"

namespace burlreach {

/** Where a member takes messages. */
NetworkAddress addressOf(const peers::Member& member);

}
