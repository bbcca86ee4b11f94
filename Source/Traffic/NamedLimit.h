#pragma once

#include "Http/HttpMessage.h"

#include <optional>
#include <string_view>

namespace burlreach {

/**
 * The requests a second that a backend server takes from all instances
 * together, as the field of its answer names them: the lowest where it stands
 * several times. Nothing when it is missing or is no plain decimal number.
 */
std::optional<double> namedLimitOf(const HttpFields& fields, std::string_view name);

}
