#include "Program/StopWaits.h"

#include <cmath>

namespace burlreach {

namespace {

std::string wholeMilliseconds(Milliseconds duration)
{
    return std::to_string(std::llround(duration.count));
}

}

void StopWaits::note(const Unfinished& unfinished, Milliseconds now)
{
    this->last = unfinished;
    if (unfinished.requests)
        this->requestsUntil = now - this->began;
    if (unfinished.callers)
        this->callersUntil = now - this->began;
}

std::string StopWaits::fields(Milliseconds now) const
{
    return "\"took\":" + wholeMilliseconds(now - this->began) + ",\"requests_until\":"
        + wholeMilliseconds(this->requestsUntil) + ",\"callers_until\":" + wholeMilliseconds(this->callersUntil)
        + ",\"requests_left\":" + std::to_string(this->last.requests)
        + ",\"callers_left\":" + std::to_string(this->last.callers);
}

}
