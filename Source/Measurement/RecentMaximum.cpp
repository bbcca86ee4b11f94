#include "Measurement/RecentMaximum.h"

#include <algorithm>

namespace burlreach {

namespace {

constexpr double WindowCount = 2;

}

RecentMaximum::RecentMaximum(Options givenOptions)
    : options(givenOptions)
{
}

void RecentMaximum::add(Milliseconds duration, Milliseconds now)
{
    if (now - this->windows.front().begin >= this->options.window) {
        this->windows.back() = this->windows.front();
        this->windows.front() = { .begin = now };
    }
    Window& present = this->windows.front();
    present.longest = std::max(present.longest, duration);
    ++present.count;
}

std::optional<Milliseconds> RecentMaximum::value(Milliseconds now) const
{
    std::size_t count = 0;
    Milliseconds longest;
    for (const Window& window : this->windows) {
        if (now - window.begin >= this->options.window * WindowCount)
            continue;
        count += window.count;
        longest = std::max(longest, window.longest);
    }
    return count < this->options.least ? std::nullopt : std::optional(longest);
}

}
