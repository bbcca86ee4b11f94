#pragma once

#include "Base/Findings.h"

#include <nlohmann/json.hpp>
#include <string_view>

namespace burlreach {

/** Parses JSON text and adds a finding for each duplicate key of an object. Returns a discarded value for invalid JSON.
 */
nlohmann::json parseWithoutDuplicates(std::string_view text, Findings& findings);

}
