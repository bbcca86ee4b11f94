#pragma once

#include "Http/HttpMessage.h"

#include <optional>
#include <string_view>

namespace burlreach {

/**
 * Returns the rate limit that a backend server states in this field of its
 * answer: the requests per second that it accepts from all instances together.
 * If the field occurs several times, the lowest value counts. Values that are
 * not plain decimal numbers are ignored; returns nothing if no value is left.
 */
std::optional<double> namedLimitOf(const HttpFields& fields, std::string_view name);

}
