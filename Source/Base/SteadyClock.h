#pragma once

#include "Base/Clock.h"

namespace burlreach {

/** The monotonic clock of the system that also counts while it is suspended (CLOCK_BOOTTIME). */
class SteadyClock final : public Clock {
public:
    Milliseconds now() const override;
};

}
