#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace burlreach {

/** The whole text as a number; nothing when it is anything else. */
std::optional<std::uint32_t> readNumber(std::string_view text);

}
