#pragma once

#include "Base/Milliseconds.h"

namespace burlreach {

/** Gives the present time; never goes backwards. */
class Clock {
public:
    virtual ~Clock() = default;
    virtual Milliseconds now() const = 0;
};

}
