#pragma once

#include "Node/Actions.h"
#include "Traffic/CallerExchange.h"

namespace burlreach {

/** The final answer to a refused request, with when to come back. */
CallerAnswer refusalAnswer(const RefuseRequest& refusal);

}
