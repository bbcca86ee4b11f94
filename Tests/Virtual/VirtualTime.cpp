#include "Tests/Virtual/VirtualTime.h"

#include <utility>

namespace burlreach {

void VirtualTime::after(Milliseconds delay, Task task)
{
    this->items.push({ .at = this->present + delay, .order = ++this->lastOrder, .task = std::move(task) });
}

void VirtualTime::runUntil(Milliseconds end)
{
    while (!this->items.empty() && this->items.top().at <= end) {
        Task task = std::move(const_cast<Item&>(this->items.top()).task);
        this->present = this->items.top().at;
        this->items.pop();
        task();
    }
    this->present = end;
}

}
