#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace burlreach {

/** The largest value to decompress, several times the largest value that a store accepts. */
inline constexpr std::size_t MaximumPlainValueBytes = 16777216;

/**
 * Compresses a value with an optional base as dictionary. Content shared with the base takes almost no space: a
 * document with a small change becomes a few dozen bytes. Returns an empty string if zstd fails, which only happens
 * when memory runs out.
 */
std::string packValue(std::string_view value, std::string_view base);

/** Decompresses a value; nullopt if the bytes are damaged or were compressed with another base. */
std::optional<std::string> unpackValue(std::string_view packed, std::string_view base, std::size_t plainBytes);

}
