#pragma once

#include <cstddef>
#include <functional>

namespace burlreach {

/** Calls the function once for each index, on all cores; runs share nothing. */
void runInParallel(std::size_t count, const std::function<void(std::size_t)>& run);

}
