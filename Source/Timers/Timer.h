#pragma once

#include "Timers/TimerClock.h"

#include <algorithm>
#include <asio/basic_waitable_timer.hpp>

namespace burlreach {

/**
 * Makes asio wait for a short time only before it checks the clock again.
 *
 * The timers of the operating system stop while the system is suspended. A timeout of two seconds would fire up to two
 * seconds late after a suspension, and nothing could be scheduled before it; with this it fires at most 250 ms late.
 * The cost is at most four wake-ups a second in each of two threads.
 */
template <typename Clock>
struct ShortWaits {
    static constexpr std::chrono::milliseconds Longest{ 250 };

    // asio prescribes the names.
    // NOLINTNEXTLINE(readability-identifier-naming)
    static typename Clock::duration to_wait_duration(const typename Clock::duration& span)
    {
        return std::min<typename Clock::duration>(span, Longest);
    }
    // NOLINTNEXTLINE(readability-identifier-naming)
    static typename Clock::duration to_wait_duration(const typename Clock::time_point& time)
    {
        return to_wait_duration(time - Clock::now());
    }
};

/** A timer that also counts the time during which the system is suspended. */
using Timer = asio::basic_waitable_timer<TimerClock, ShortWaits<TimerClock>>;

}
