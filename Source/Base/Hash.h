#pragma once

#include <cstdint>
#include <string_view>

namespace burlreach {

/** The same on every instance and in every version. */
std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0);

/** A shorter one, for names in messages. */
std::uint32_t shortHashOf(std::string_view text);

}
