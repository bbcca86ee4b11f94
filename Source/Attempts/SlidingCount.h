#pragma once

#include "Base/Milliseconds.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace burlreach {

/** Counts the events within a sliding window, with a resolution of a twentieth of the window. */
class SlidingCount {
public:
    explicit SlidingCount(Milliseconds window);

    void add(Milliseconds now);
    std::uint64_t count(Milliseconds now);

private:
    static constexpr std::size_t Buckets = 20;

    void advance(Milliseconds now);

    Milliseconds bucketLength;
    std::array<std::uint64_t, Buckets> buckets{};
    std::int64_t latest = 0; // number of the newest bucket
    std::uint64_t total = 0;
};

}
