#pragma once

#include "Base/Milliseconds.h"

#include <cstdint>

namespace burlreach {

/** What a backend server said of its load, with the report's age and origin. */
struct LoadReport {
    std::uint32_t inFlight = 0; // requests at the backend server, waiting ones included
    Milliseconds at = LongAgo; // when the origin heard it
    std::uint32_t origin = 0; // hash of the name of the instance that heard it
};

}
