#include "Program/LineBudget.h"

#include <algorithm>
#include <utility>

namespace burlreach {

LineBudget::LineBudget(Options givenOptions)
    : options(givenOptions)
    , tokens(givenOptions.burst)
{
}

bool LineBudget::take(Milliseconds now)
{
    if (this->filledAt != Never) {
        const double earned = this->options.perSecond * std::max(0.0, (now - this->filledAt) / Second);
        this->tokens = std::min(this->options.burst, this->tokens + earned);
    }
    this->filledAt = now;
    if (this->tokens < 1) {
        ++this->leftOut;
        return false;
    }
    this->tokens -= 1;
    return true;
}

std::uint64_t LineBudget::takeLeftOut()
{
    return std::exchange(this->leftOut, 0);
}

}
