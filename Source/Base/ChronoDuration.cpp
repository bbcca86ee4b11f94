#include "Base/ChronoDuration.h"

#include <algorithm>
#include <cstdint>

namespace burlreach {

std::chrono::microseconds toDuration(Milliseconds duration)
{
    constexpr double microsecondsPerMillisecond = 1000;
    return std::chrono::microseconds(
        static_cast<std::int64_t>(std::max(1.0, duration.count * microsecondsPerMillisecond)));
}

}
