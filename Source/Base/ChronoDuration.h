#pragma once

#include "Base/Milliseconds.h"

#include <chrono>

namespace burlreach {

/** The span as libraries want it; at least a microsecond. */
std::chrono::microseconds toDuration(Milliseconds span);

}
