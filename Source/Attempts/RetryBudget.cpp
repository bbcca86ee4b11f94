#include "Attempts/RetryBudget.h"

#include <algorithm>

namespace burlreach {

namespace {

/** Enough for a service that is seldom asked. */
constexpr double MostSaved = 10;

}

RetryBudget::RetryBudget(double givenShare)
    : share(givenShare)
    , saved(MostSaved)
{
}

void RetryBudget::firstAttempt()
{
    this->saved = std::min(MostSaved, this->saved + this->share);
}

bool RetryBudget::take()
{
    if (this->saved < 1)
        return false;
    this->saved -= 1;
    return true;
}

}
