#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace burlreach {

/** A random number generator with an explicit seed, so that a run can be reproduced. */
class Random {
public:
    explicit Random(std::uint64_t seed);

    /** An integer from 0 to limit - 1; 0 if the limit is 0. */
    std::size_t below(std::size_t limit);

    /** A number from 0 up to, but not including, 1. */
    double unit();

    /** An exponentially distributed number with this mean. */
    double exponential(double mean);

    /** 64 random bits. */
    std::uint64_t number();

private:
    std::mt19937_64 engine;
};

}
