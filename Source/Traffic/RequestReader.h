#pragma once

#include "Node/Events.h"
#include "Traffic/CallerExchange.h"

namespace burlreach {

/** Reads our headers of a caller's request; see docs/OPERATIONS.md. */
RequestArrived readRequest(const CallerRequest& request);

}
