#include "Node/DecisionRecord.h"

#include <array>
#include <charconv>
#include <cmath>

namespace burlreach {

DecisionRecord knowledgeRecord(std::string_view event, std::string subject)
{
    return { .topic = RecordTopic::Knowledge, .event = event, .subject = std::move(subject), .fields = {} };
}

DecisionRecord& DecisionRecord::with(std::string_view name, std::string value)
{
    this->fields.push_back({ .name = name, .value = std::move(value), .isNumber = false });
    return *this;
}

DecisionRecord& DecisionRecord::with(std::string_view name, double value)
{
    constexpr std::size_t longest = 64;
    std::array<char, longest> digits{};
    if (!std::isfinite(value))
        return this->with(name, "never");
    const auto written = std::to_chars(digits.begin(), digits.end(), value, std::chars_format::fixed, 1);
    this->fields.push_back({ .name = name, .value = { digits.begin(), written.ptr }, .isNumber = true });
    return *this;
}

DecisionRecord& DecisionRecord::with(std::string_view name, std::uint64_t value)
{
    this->fields.push_back({ .name = name, .value = std::to_string(value), .isNumber = true });
    return *this;
}

}
