#include "Traffic/StableFields.h"

#include "Base/Hash.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string>
#include <string_view>

namespace burlreach {

namespace {

/** Host is already part of the route; clients usually set the other fields to new values in each attempt. */
constexpr std::array<std::string_view, 5> IgnoredFields{ "host", "date", "traceparent", "tracestate", "x-request-id" };

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
        [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return lower;
}

}

std::uint64_t hashStableFields(const HttpRequest& request, const TrafficDialect& dialect)
{
    std::uint64_t sum = 0;
    for (const auto& field : request) {
        const auto given = field.name_string();
        const std::string name = lowerCase({ given.data(), given.size() });
        const bool isLeftOut = std::find(IgnoredFields.begin(), IgnoredFields.end(), name) != IgnoredFields.end();
        if (isLeftOut || isHopByHopField(field.name()) || dialect.variesByAttempt(name))
            continue;
        const std::string_view value{ field.value().data(), field.value().size() };
        // The sum is sent to other instances, and a short key could be recovered from a non-cryptographic hash.
        const bool isSecret = boost::beast::iequals(name, KeyField);
        // Added, so that the order of the fields does not matter.
        sum += isSecret ? hashOf(digestOfKey(value).text(), hashOf(name)) : hashOf(value, hashOf(name));
    }
    return sum;
}

}
