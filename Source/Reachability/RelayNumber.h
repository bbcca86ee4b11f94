#pragma once

#include <cstdint>

namespace burlreach {

/** Identifies a connection that this instance relays, or was asked to relay, for another instance. */
using RelayNumber = std::uint64_t;

}
