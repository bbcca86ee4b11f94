#pragma once

#include "Base/Milliseconds.h"

namespace burlreach {

/** A monotonic clock. */
class Clock {
public:
    virtual ~Clock() = default;
    virtual Milliseconds now() const = 0;
};

}
