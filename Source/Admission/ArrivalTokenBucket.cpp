#include "Admission/ArrivalTokenBucket.h"

#include <algorithm>

namespace burlreach {

ArrivalTokenBucket::ArrivalTokenBucket(const Options& givenOptions)
    : options(givenOptions)
{
}

void ArrivalTokenBucket::countArrival()
{
    this->tokens = std::min(this->options.most, this->tokens + this->options.share);
}

bool ArrivalTokenBucket::take()
{
    if (this->tokens < 1)
        return false;
    this->tokens -= 1;
    return true;
}

}
