#pragma once

#include <cstdint>
#include <string_view>

namespace burlreach {

/** A 64-bit hash that is the same on every instance and in every version. */
std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0);

/** A 32-bit hash, also stable, which stands for a name in messages. */
std::uint32_t shortHashOf(std::string_view text);

}
