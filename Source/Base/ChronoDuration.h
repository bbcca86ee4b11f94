#pragma once

#include "Base/Milliseconds.h"

#include <chrono>

namespace burlreach {

/** Converts to the duration type of the standard library; at least one microsecond. */
std::chrono::microseconds toDuration(Milliseconds duration);

}
