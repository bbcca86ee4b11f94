#pragma once

#include <chrono>
#include <ratio>

namespace burlreach {

/** Adapts SteadyClock, which also counts while the system is suspended, to the clock interface of asio's timers. */
class TimerClock {
public:
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<TimerClock, duration>;
    static constexpr bool is_steady = true;

    static time_point now();
};

}
