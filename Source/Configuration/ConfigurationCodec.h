#pragma once

#include "configuration.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace burlreach {

/** Encodes a configuration as JSON, as kept in the store. */
std::string encodeConfiguration(const v1::Configuration& configuration);

/** nullopt if the text is not a configuration with a revision. Unknown fields are ignored. */
std::optional<v1::Configuration> decodeConfiguration(std::string_view text);

}
