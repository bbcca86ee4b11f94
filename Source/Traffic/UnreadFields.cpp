#include "Traffic/UnreadFields.h"

#include <algorithm>
#include <string_view>

namespace burlreach {

namespace {

/** Bounds memory and log lines when a server sends ever new field names. */
constexpr std::size_t MaxNames = 32;
/** In bytes; names and values are reported up to this length. */
constexpr std::size_t MaxTextBytes = 64;

std::string truncated(std::string_view text)
{
    return std::string(text.substr(0, MaxTextBytes));
}

}

std::vector<UnreadField> UnreadFields::findNew(const HttpResponse& header, const TrafficDialect& dialect)
{
    std::vector<UnreadField> found;
    for (const auto& field : header) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        const bool isKnown = field.name() != boost::beast::http::field::unknown || dialect.isKnownAnswerField(name);
        if (isKnown || this->seenNames.size() >= MaxNames || this->seenNames.contains(name))
            continue;
        this->seenNames.emplace(name);
        found.push_back(
            { .name = truncated(name), .value = truncated({ field.value().data(), field.value().size() }) });
    }
    return found;
}

}
