#pragma once

#include "Tests/Virtual/VirtualFleet.h"

#include <string>
#include <vector>

namespace burlreach {

/**
 * One sentence for each request or probe that an instance sent against a server's own notice: a request after the
 * server had reported that it is leaving, or a request or probe during a pause that the server had asked for. Only
 * notices that the instance itself received earlier in the same life count.
 */
std::vector<std::string> sentAgainstWords(const VirtualFleet& fleet);

}
