#include "Traffic/UnreadFields.h"

#include <algorithm>
#include <string_view>

namespace burlreach {

namespace {

/** Bounds memory and log lines when a server sends ever new field names. */
constexpr std::size_t MostNames = 32;
/** In bytes; names and values are reported up to this length. */
constexpr std::size_t LongestText = 64;

std::string beginningOf(std::string_view text)
{
    return std::string(text.substr(0, LongestText));
}

}

std::vector<UnreadField> UnreadFields::newOnes(const HttpResponse& header, const TrafficDialect& dialect)
{
    std::vector<UnreadField> found;
    for (const auto& field : header) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        const bool isKnown = field.name() != boost::beast::http::field::unknown || dialect.knowsAnswerField(name);
        if (isKnown || this->seen.size() >= MostNames || this->seen.contains(name))
            continue;
        this->seen.emplace(name);
        found.push_back(
            { .name = beginningOf(name), .value = beginningOf({ field.value().data(), field.value().size() }) });
    }
    return found;
}

}
