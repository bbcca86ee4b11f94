#include "Tests/Virtual/VirtualTime.h"

#include <algorithm>
#include <utility>

namespace burlreach {

void VirtualTime::after(Milliseconds span, Task task)
{
    const Milliseconds at = this->current + std::max(Milliseconds{}, span);
    this->tasks.push({ .at = at, .number = ++this->last, .task = std::move(task) });
}

void VirtualTime::runUntil(Milliseconds end)
{
    while (!this->tasks.empty() && this->tasks.top().at <= end) {
        const Planned next = this->tasks.top();
        this->tasks.pop();
        this->current = next.at;
        next.task();
    }
    this->current = std::max(this->current, end);
}

}
