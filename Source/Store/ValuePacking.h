#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace burlreach {

/** Longer values are never unpacked: several times what a store takes as one value. */
inline constexpr std::size_t LongestPlainValue = 16777216;

/**
 * Compresses a value. What it shares with the base costs next to nothing, so a
 * document with a small change becomes a few dozen bytes; an empty base is
 * none. Empty when the library fails, which only lack of memory brings about.
 */
std::string packValue(std::string_view value, std::string_view base);

/** The value again; nothing when the bytes are damaged, or were packed against another base. */
std::optional<std::string> unpackValue(std::string_view packed, std::string_view base, std::size_t plainBytes);

}
