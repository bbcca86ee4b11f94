#include "Base/SteadyClock.h"

#include <ctime>

namespace burlreach {

Milliseconds SteadyClock::now() const
{
    constexpr double millisecondsPerSecond = 1e3;
    constexpr double nanosecondsPerMillisecond = 1e6;
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const double seconds = static_cast<double>(time.tv_sec);
    const double nanoseconds = static_cast<double>(time.tv_nsec);
    return { seconds * millisecondsPerSecond + nanoseconds / nanosecondsPerMillisecond };
}

}
