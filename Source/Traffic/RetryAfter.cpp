#include "Traffic/RetryAfter.h"

#include "Traffic/UnsignedDecimal.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <string>
#include <string_view>

namespace burlreach {

namespace {

constexpr double MillisecondsPerSecond = 1000;
/** 30,000 years; keeps times finite. */
constexpr Milliseconds MaxDelay{ 1e15 };
/** The preferred date format of HTTP, then the two obsolete ones that a recipient must still accept. */
constexpr std::array<const char*, 3> DateFormats{ "%a, %d %b %Y %H:%M:%S GMT", "%a, %d-%b-%y %H:%M:%S GMT",
    "%a %b %d %H:%M:%S %Y" };

Milliseconds delayOf(double seconds)
{
    return std::min(MaxDelay, Milliseconds{ seconds * MillisecondsPerSecond });
}

std::chrono::sys_seconds toSystemTime(const std::tm& fields)
{
    constexpr int firstYear = 1900;
    const std::chrono::year_month_day day{ std::chrono::year(fields.tm_year + firstYear),
        std::chrono::month(static_cast<unsigned>(fields.tm_mon + 1)),
        std::chrono::day(static_cast<unsigned>(fields.tm_mday)) };
    return std::chrono::sys_days(day) + std::chrono::hours(fields.tm_hour) + std::chrono::minutes(fields.tm_min)
        + std::chrono::seconds(fields.tm_sec);
}

std::optional<std::chrono::sys_seconds> parseDate(std::string_view text)
{
    const std::string whole(text);
    for (const char* form : DateFormats) {
        std::tm fields{};
        const char* end = strptime(whole.c_str(), form, &fields);
        if (end && !*end)
            return toSystemTime(fields);
    }
    return std::nullopt;
}

std::chrono::sys_seconds sentAt(const HttpFields& fields)
{
    if (const auto date = parseDate(trimmed(valueOf(fields, "Date"))))
        return *date;
    return std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
}

}

std::optional<Milliseconds> retryAfterOf(const HttpFields& fields)
{
    const std::string_view text = trimmed(valueOf(fields, "Retry-After"));
    if (const auto seconds = parseUnsignedDecimal(text))
        return delayOf(*seconds);
    const auto until = text.empty() ? std::nullopt : parseDate(text);
    if (!until)
        return std::nullopt;
    const std::chrono::duration<double, std::milli> delay = *until - sentAt(fields);
    return Milliseconds{ std::max(0.0, delay.count()) };
}

}
