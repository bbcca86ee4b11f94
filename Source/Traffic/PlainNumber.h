#pragma once

#include <optional>
#include <string_view>

namespace burlreach {

/** Without the blanks around it. */
std::string_view trimmed(std::string_view text);

/**
 * Digits, and perhaps a point and more of them: no sign, exponent, name or
 * other text. Beyond the largest number: that one; below the smallest: zero.
 */
std::optional<double> parsePlainNumber(std::string_view text);

}
