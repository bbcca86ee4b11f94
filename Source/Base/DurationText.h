#pragma once

#include "Base/Milliseconds.h"

#include <optional>
#include <string_view>

namespace burlreach {

/** Parses a duration such as "1500ms" or "2.5s"; nullopt for any other text. */
std::optional<Milliseconds> parseDuration(std::string_view text);

}
