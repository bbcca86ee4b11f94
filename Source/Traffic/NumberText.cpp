#include "Traffic/NumberText.h"

#include <charconv>

namespace burlreach {

std::optional<std::uint32_t> readNumber(std::string_view text)
{
    std::uint32_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

}
