#include "Base/DurationText.h"

#include <charconv>

namespace burlreach {

std::optional<Milliseconds> parseDuration(std::string_view text)
{
    constexpr double millisecondsPerSecond = 1000;
    double number = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    if (read.ec != std::errc() || number < 0)
        return std::nullopt;
    const std::string_view unit = text.substr(static_cast<std::size_t>(read.ptr - text.data()));
    if (unit == "ms")
        return Milliseconds{ number };
    if (unit == "s")
        return Milliseconds{ number * millisecondsPerSecond };
    return std::nullopt;
}

}
