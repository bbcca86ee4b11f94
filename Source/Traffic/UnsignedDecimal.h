#pragma once

#include <optional>
#include <string_view>

namespace burlreach {

/** Returns the text without leading and trailing blanks. */
std::string_view trimmed(std::string_view text);

/**
 * Parses digits, optionally followed by a point and more digits. Returns
 * nothing for any other text, such as a sign, an exponent or "inf". A number
 * that is out of range becomes the largest double, one that is too small zero.
 */
std::optional<double> parseUnsignedDecimal(std::string_view text);

}
