#pragma once

#include "Base/Findings.h"

#include <nlohmann/json.hpp>
#include <string_view>

namespace burlreach {

/** Parses a JSON text; each key that an object holds twice is a finding. Discarded when it is not JSON. */
nlohmann::json parseWithoutDuplicates(std::string_view text, Findings& findings);

}
