#include "Routing/ConcurrencyLimit.h"

#include <algorithm>

namespace burlreach {

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

void ConcurrencyLimit::succeeded(std::size_t inFlight)
{
    const bool isUsed = static_cast<double>(inFlight) + 1 >= this->limit;
    if (isUsed)
        this->limit = std::min(this->options.highest, this->limit + 1 / this->limit);
}

void ConcurrencyLimit::overloaded(Milliseconds now)
{
    if (now < this->nextShrink)
        return;
    this->limit = std::max(this->options.lowest, this->limit * this->options.shrinkFactor);
    // Answers to requests sent before the shrink say nothing about it.
    this->nextShrink = now + this->options.shrinkGap;
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
