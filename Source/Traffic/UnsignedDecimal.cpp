#include "Traffic/UnsignedDecimal.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace burlreach {

namespace {

constexpr std::string_view Digits = "0123456789";

bool isUnsignedDecimal(std::string_view text)
{
    const std::size_t whole = std::min(text.find_first_not_of(Digits), text.size());
    if (!whole || whole == text.size())
        return whole != 0;
    const std::string_view fraction = text.substr(whole + 1);
    return text[whole] == '.' && !fraction.empty() && fraction.find_first_not_of(Digits) == std::string_view::npos;
}

}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(' ');
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(' ') - first + 1);
}

std::optional<double> parseUnsignedDecimal(std::string_view text)
{
    if (!isUnsignedDecimal(text))
        return std::nullopt;
    double number = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
    if (read.ec == std::errc::result_out_of_range)
        return text.find_first_not_of('0') < text.find('.') ? std::numeric_limits<double>::max() : 0;
    return number;
}

}
