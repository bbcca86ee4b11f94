#pragma once

#include "Timers/TimerClock.h"

#include <algorithm>
#include <asio/basic_waitable_timer.hpp>

namespace burlreach {

/**
 * Lets asio wait no longer than this at a time and then look at the clock again.
 *
 * The system's timers stand still while the machine is suspended. So after a
 * suspension of seconds a time-out of two seconds came up to two seconds late,
 * and nothing could be planned before it (test Timer); with this it comes 250 ms
 * late at most. That is four wake-ups a second at most in each of two threads.
 */
template <typename Clock>
struct ShortWaits {
    static constexpr std::chrono::milliseconds Longest{ 250 };

    // The names are asio's.
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

/** The timer for everything that is due after some time, whether or not the machine is suspended meanwhile. */
using Timer = asio::basic_waitable_timer<TimerClock, ShortWaits<TimerClock>>;

}
