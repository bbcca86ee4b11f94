// Replaces the system's clock_gettime() in the program that the soak runs. It
// advances CLOCK_BOOTTIME, which also counts while the system is suspended, by
// the milliseconds in a file. A process that is paused for a moment and whose
// clock is then advanced by seconds observes what it would after a suspension of
// the system: its other clock and the system's timers have stood still.

#include <array>
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

constexpr long MillisecondsPerSecond = 1000;
constexpr long NanosecondsPerMillisecond = 1000000;
constexpr long NanosecondsPerSecond = 1000000000;

long suspendedMilliseconds()
{
    static const char* const path = std::getenv("SUSPENDED_CLOCK");
    static const int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    std::array<char, 32> text{};
    if (file < 0 || pread(file, text.data(), text.size() - 1, 0) <= 0)
        return 0;
    return std::strtol(text.data(), nullptr, 10);
}

}

extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    const long result = syscall(SYS_clock_gettime, clock, time);
    if (result || clock != CLOCK_BOOTTIME)
        return static_cast<int>(result);
    const long suspended = suspendedMilliseconds();
    time->tv_sec += suspended / MillisecondsPerSecond;
    time->tv_nsec += suspended % MillisecondsPerSecond * NanosecondsPerMillisecond;
    if (time->tv_nsec >= NanosecondsPerSecond) {
        time->tv_nsec -= NanosecondsPerSecond;
        ++time->tv_sec;
    }
    return 0;
}
