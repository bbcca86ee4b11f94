#include "Traffic/NamedLimit.h"

#include "Traffic/UnsignedDecimal.h"

#include <algorithm>

namespace burlreach {

std::optional<double> namedLimitOf(const HttpFields& fields, std::string_view name)
{
    std::optional<double> lowest;
    const auto [first, last] = fields.equal_range({ name.data(), name.size() });
    for (auto field = first; field != last; ++field) {
        const auto number = parseUnsignedDecimal(trimmed({ field->value().data(), field->value().size() }));
        if (number)
            lowest = std::min(*number, lowest.value_or(*number));
    }
    return lowest;
}

}
