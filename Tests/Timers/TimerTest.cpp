// Guards against late timeouts after the system was suspended: its timers stop during the suspension, while the clock
// for deadlines, ages and leases goes on.

#include "Timers/Timer.h"
#include "Base/SteadyClock.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <chrono>
#include <cmath>
#include <thread>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

using RealTime = std::chrono::steady_clock;

/** A clock that can be set forward, as a suspension does. */
class SuspendedClock {
public:
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<SuspendedClock, duration>;
    static time_point now()
    {
        const auto real = std::chrono::duration_cast<duration>(RealTime::now().time_since_epoch());
        return time_point(real + std::chrono::milliseconds(suspended));
    }

    static inline std::atomic<int> suspended{ 0 }; // milliseconds
};

using SuspendedTimer = asio::basic_waitable_timer<SuspendedClock, ShortWaits<SuspendedClock>>;

constexpr std::chrono::milliseconds Due{ 2000 };
constexpr std::chrono::milliseconds BeforeSuspension{ 50 };
constexpr int SuspendedMilliseconds = 5000;
/** How late the timer may fire: one short wait, plus the delay on a busy system. */
constexpr std::chrono::milliseconds MaximumDelay{ 1000 };

}

TEST_GROUP(Timer){};

TEST(Timer, FiresSoonAfterASuspension)
{
    SuspendedClock::suspended = 0;
    asio::io_context context;
    SuspendedTimer timer(context);
    const auto begun = RealTime::now();
    bool hasEnded = false;
    timer.expires_after(Due);
    timer.async_wait([&](const asio::error_code& error) { hasEnded = !error; });
    context.run_for(BeforeSuspension);
    CHECK(!hasEnded);
    SuspendedClock::suspended = SuspendedMilliseconds;
    context.run();
    CHECK(hasEnded);
    CHECK(RealTime::now() - begun < BeforeSuspension + MaximumDelay);
}

TEST(Timer, DoesNotFireEarly)
{
    SuspendedClock::suspended = 0;
    asio::io_context context;
    SuspendedTimer timer(context);
    constexpr std::chrono::milliseconds span{ 600 };
    const auto begun = RealTime::now();
    timer.expires_after(span);
    timer.async_wait([](const asio::error_code&) {});
    context.run();
    CHECK(RealTime::now() - begun >= span);
}

TEST(Timer, AgreesWithSteadyClock)
{
    const double before = SteadyClock().now().count;
    const double now = static_cast<double>(TimerClock::now().time_since_epoch().count()) / 1000;
    CHECK(std::abs(now - before) < 1000);
}
