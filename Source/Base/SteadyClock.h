#pragma once

#include "Base/Clock.h"

namespace burlreach {

/** The machine's clock that also counts while the process is suspended. */
class SteadyClock final : public Clock {
public:
    Milliseconds now() const override;
};

}
