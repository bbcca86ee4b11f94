#pragma once

#include "Base/Milliseconds.h"

#include <optional>
#include <string_view>

namespace burlreach {

/** Reads "1500ms" or "2.5s"; nothing when the text is no span. */
std::optional<Milliseconds> parseSpan(std::string_view text);

}
