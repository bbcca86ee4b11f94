#include "Attempts/ExpiringTokens.h"

namespace burlreach {

ExpiringTokens::ExpiringTokens(Milliseconds givenLifetime, double phase)
    : lifetime(givenLifetime)
    , fraction(phase)
{
}

void ExpiringTokens::expire(Milliseconds now)
{
    while (!this->earnedAt.empty() && now - this->earnedAt.front() >= this->lifetime)
        this->earnedAt.pop_front();
}

void ExpiringTokens::earn(double tokens, Milliseconds span, Milliseconds now)
{
    this->expire(now);
    double left = tokens;
    while (this->fraction + left >= 1) {
        left -= 1 - this->fraction;
        this->fraction = 0;
        this->earnedAt.push_back(now - span * (left / tokens));
    }
    this->fraction += left;
}

bool ExpiringTokens::has(Milliseconds now)
{
    this->expire(now);
    return !this->earnedAt.empty();
}

bool ExpiringTokens::take(Milliseconds now)
{
    if (!this->has(now))
        return false;
    this->earnedAt.pop_front();
    return true;
}

}
