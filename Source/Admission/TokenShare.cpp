#include "Admission/TokenShare.h"

#include <algorithm>

namespace burlreach {

TokenShare::TokenShare(const Options& givenOptions)
    : options(givenOptions)
{
}

void TokenShare::arrived()
{
    this->tokens = std::min(this->options.most, this->tokens + this->options.share);
}

bool TokenShare::take()
{
    if (this->tokens < 1)
        return false;
    this->tokens -= 1;
    return true;
}

}
