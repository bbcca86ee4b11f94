#pragma once

#include <chrono>
#include <ratio>

namespace burlreach {

/** SteadyClock, which also counts while the machine is suspended, in the shape that asio's timers want. */
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
