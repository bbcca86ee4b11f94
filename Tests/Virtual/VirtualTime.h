#pragma once

#include "Base/Milliseconds.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace burlreach {

/** Runs what is due in the order of its time; equal times in the order given. */
class VirtualTime {
public:
    using Task = std::function<void()>;

    Milliseconds now() const { return this->present; }
    void after(Milliseconds delay, Task task);
    void runUntil(Milliseconds end);

private:
    struct Item {
        Milliseconds at;
        std::uint64_t order = 0;
        Task task;

        bool operator<(const Item& other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    Milliseconds present;
    std::uint64_t lastOrder = 0;
    std::priority_queue<Item> items;
};

}
