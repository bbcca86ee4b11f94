#pragma once

#include "Tests/Virtual/VirtualFleet.h"

#include <string>
#include <vector>

namespace burlreach {

/**
 * What instances sent to backend servers against these servers' own words, a
 * sentence each: a request after the server had said that it leaves, a request
 * or a probe during a pause that it had asked for. A life of an instance is
 * bound by what it heard itself, from that moment on.
 */
std::vector<std::string> sentAgainstWords(const VirtualFleet& fleet);

}
