#include "Traffic/FieldValues.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <string>

namespace burlreach {

namespace {

constexpr double MillisecondsPerSecond = 1000;
/** Upper limit of a duration in a header field; keeps the numbers in range. */
constexpr double MaxMilliseconds = 1e9;

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && text.front() == ' ')
        text.remove_prefix(1);
    while (!text.empty() && text.back() == ' ')
        text.remove_suffix(1);
    return text;
}

template <typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isWhole = read.ec == std::errc() && read.ptr == text.data() + text.size();
    return isWhole ? std::optional<Number>(number) : std::nullopt;
}

}

std::optional<ReportedLoad> parseLoad(std::string_view text)
{
    ReportedLoad figures;
    const std::array<std::uint32_t*, 4> fields{ &figures.running, &figures.waiting, &figures.slots,
        &figures.workPercent };
    for (std::uint32_t* field : fields) {
        if (text.empty())
            break;
        const std::size_t comma = std::min(text.find(','), text.size());
        const auto number = parseNumber<std::uint32_t>(trimmed(text.substr(0, comma)));
        if (!number)
            return std::nullopt;
        *field = *number;
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return figures;
}

std::optional<Milliseconds> parseMilliseconds(std::string_view text)
{
    const auto number = parseNumber<std::uint64_t>(trimmed(text));
    if (!number)
        return std::nullopt;
    return Milliseconds{ std::min(static_cast<double>(*number), MaxMilliseconds) };
}

std::string formatMilliseconds(Milliseconds duration)
{
    const double bounded = std::clamp(std::floor(duration.count), 1.0, MaxMilliseconds);
    return std::to_string(static_cast<std::uint64_t>(bounded));
}

std::string formatSeconds(Milliseconds duration)
{
    constexpr int decimals = 3;
    constexpr std::size_t longest = 32;
    std::array<char, longest> digits{};
    const double seconds = std::clamp(duration.count, 0.0, MaxMilliseconds) / MillisecondsPerSecond;
    const auto written = std::to_chars(digits.begin(), digits.end(), seconds, std::chars_format::fixed, decimals);
    return { digits.begin(), written.ptr };
}

}
