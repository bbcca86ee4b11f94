#include "Base/Random.h"

#include <cmath>

namespace burlreach {

Random::Random(std::uint64_t seed)
    : engine(seed)
{
}

std::size_t Random::below(std::size_t limit)
{
    if (!limit)
        return 0;
    return static_cast<std::size_t>(this->engine() % limit);
}

double Random::unit()
{
    constexpr int mantissaBits = 53;
    constexpr int droppedBits = 64 - mantissaBits;
    return std::ldexp(static_cast<double>(this->engine() >> droppedBits), -mantissaBits);
}

double Random::exponential(double mean)
{
    return -mean * std::log1p(-this->unit());
}

std::uint64_t Random::number()
{
    return this->engine();
}

}
