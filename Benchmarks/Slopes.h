#pragma once

#include <nlohmann/json.hpp>

namespace burlreach {

/**
 * Processor time, memory, messages, bytes and store calls for control of one
 * Node object, fed by fakes with what its peers would send it, for several
 * sizes of the fleet and of the configuration.
 */
nlohmann::json measureSlopes();

}
