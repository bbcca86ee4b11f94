#include "Exchange/Backoff.h"

#include <algorithm>

namespace burlreach {

Backoff::Backoff(Options givenOptions)
    : options(givenOptions)
    , bound(givenOptions.first)
{
}

Milliseconds Backoff::next(Random& random)
{
    constexpr double half = 0.5;
    const Milliseconds wait = this->bound * (half + half * random.unit());
    this->bound = std::min(this->bound * 2, this->options.longest);
    return wait;
}

void Backoff::reset()
{
    this->bound = this->options.first;
}

}
