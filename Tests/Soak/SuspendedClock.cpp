// Linked into the program that the soak runs, in place of the system's function:
// puts the clock that also counts while the machine is suspended forward by the
// milliseconds that stand in a file. Paused
// for a moment and put forward by seconds, a process sees just what a suspended
// machine shows it: its other clock and the system's timers have stood still.

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
