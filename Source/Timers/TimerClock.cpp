#include "Timers/TimerClock.h"

#include "Base/ChronoDuration.h"
#include "Base/SteadyClock.h"

namespace burlreach {

TimerClock::time_point TimerClock::now()
{
    return time_point(toDuration(SteadyClock().now()));
}

}
