#pragma once

#include "configuration.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace burlreach {

/** The JSON text of a configuration, as kept in the platform's service. */
std::string encodeConfiguration(const v1::Configuration& configuration);

/** Nothing when the text is not a configuration. Unknown fields are kept out. */
std::optional<v1::Configuration> decodeConfiguration(std::string_view text);

}
