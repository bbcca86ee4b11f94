#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace burlreach {

/** Random numbers from a seed that is passed in, so that a run can be repeated. */
class Random {
public:
    explicit Random(std::uint64_t seed);

    /** A whole number from 0 to limit - 1; 0 when the limit is 0. */
    std::size_t below(std::size_t limit);

    /** From 0 up to, but not including, 1. */
    double unit();

    /** Exponentially distributed with this mean. */
    double exponential(double mean);

    std::uint64_t number();

private:
    std::mt19937_64 engine;
};

}
