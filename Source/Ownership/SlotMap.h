#pragma once

#include "peers.pb.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace burlreach {

inline constexpr std::size_t SlotCount = 256;

/** The slot that a request id or another key belongs to. */
std::size_t slotOf(std::string_view key);

/** The member that a slot names, or null for nobody. */
const peers::Member* primaryOf(const peers::Ownership& ownership, std::size_t slot);
const peers::Member* backupOf(const peers::Ownership& ownership, std::size_t slot);

/** True when the member exists and is this incarnation. */
bool isIncarnation(const peers::Member* member, std::uint64_t incarnation);

}
