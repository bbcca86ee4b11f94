#pragma once

#include <cstddef>
#include <functional>

namespace burlreach {

/** Calls the function once for each index, on all cores; the calls must not share mutable state. */
void runInParallel(std::size_t count, const std::function<void(std::size_t)>& run);

}
