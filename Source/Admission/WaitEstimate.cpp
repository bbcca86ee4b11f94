#include "Admission/WaitEstimate.h"

#include <algorithm>

namespace burlreach {

namespace {

constexpr double NewShare = 0.1;
constexpr Milliseconds LongestGap{ 100 };

}

void WaitEstimate::left(Milliseconds now)
{
    const Milliseconds measured = std::min(now - this->lastLeft, LongestGap);
    this->gap = this->gap + (measured - this->gap) * NewShare;
    this->lastLeft = now;
}

Milliseconds WaitEstimate::wait(std::size_t ahead, Milliseconds now) const
{
    // While nothing leaves at all, the present gap is longer than it was.
    const Milliseconds sinceLast = std::min(now - this->lastLeft, LongestGap);
    const Milliseconds present = ahead ? std::max(this->gap, sinceLast) : this->gap;
    return present * static_cast<double>(ahead + 1);
}

}
