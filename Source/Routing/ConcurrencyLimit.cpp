#include "Routing/ConcurrencyLimit.h"

#include <algorithm>

namespace burlreach {

namespace {

constexpr Milliseconds ShortestShrinkGap{ 10 };

}

ConcurrencyLimit::ConcurrencyLimit(Options givenOptions)
    : options(givenOptions)
    , limit(givenOptions.initial)
{
}

void ConcurrencyLimit::setHighest(double highest)
{
    this->options.highest = std::max(this->options.lowest, highest);
    this->limit = std::min(this->limit, this->options.highest);
}

void ConcurrencyLimit::succeeded(std::size_t inFlight, Milliseconds response, Milliseconds unloaded, Milliseconds now)
{
    if (response > unloaded * this->options.slowFactor)
        return this->overloaded(response, now);
    const bool isUsed = static_cast<double>(inFlight) + 1 >= this->limit;
    if (isUsed)
        this->limit = std::min(this->options.highest, this->limit + 1 / this->limit);
}

void ConcurrencyLimit::overloaded(Milliseconds response, Milliseconds now)
{
    if (now < this->nextShrink)
        return;
    this->limit = std::max(this->options.lowest, this->limit * this->options.shrinkFactor);
    // Answers to requests sent before the shrink say nothing about it.
    this->nextShrink = now + std::max(response, ShortestShrinkGap);
}

void ConcurrencyLimit::restart()
{
    this->limit = this->options.lowest;
}

bool ConcurrencyLimit::hasRoom(std::size_t inFlight) const
{
    return static_cast<double>(inFlight) + 1 <= this->limit;
}

}
