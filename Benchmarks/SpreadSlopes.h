#pragma once

#include <nlohmann/json.hpp>

namespace burlreach {

/**
 * How long a change takes to be in force everywhere and what a restart costs
 * the store, in virtual time, against the number of instances.
 */
nlohmann::json measureSpread();

}
