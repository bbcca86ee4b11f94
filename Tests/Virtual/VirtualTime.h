#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace burlreach {

/** A simulated clock that jumps to the next scheduled task; tasks due at the same time run in scheduling order. */
class VirtualTime final : public Clock {
public:
    using Task = std::function<void()>;

    Milliseconds now() const override { return this->current; }
    void after(Milliseconds span, Task task);
    void runUntil(Milliseconds end);

private:
    struct Planned {
        Milliseconds at;
        std::uint64_t number = 0;
        Task task;

        bool operator<(const Planned& other) const
        {
            return this->at != other.at ? this->at > other.at : this->number > other.number;
        }
    };

    Milliseconds current;
    std::uint64_t last = 0;
    std::priority_queue<Planned> tasks;
};

}
