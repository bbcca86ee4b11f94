#include "Attempts/SlidingCount.h"

#include <algorithm>
#include <cmath>

namespace burlreach {

SlidingCount::SlidingCount(Milliseconds window)
    : bucketLength(window * (1.0 / Buckets))
{
}

void SlidingCount::advance(Milliseconds now)
{
    const auto current = static_cast<std::int64_t>(std::floor(now / this->bucketLength));
    const std::int64_t steps = std::min<std::int64_t>(current - this->latest, Buckets);
    for (std::int64_t step = 0; step < steps; ++step) {
        auto& bucket
            = this->buckets.at(static_cast<std::size_t>((current - step) % static_cast<std::int64_t>(Buckets)));
        this->total -= bucket;
        bucket = 0;
    }
    this->latest = std::max(this->latest, current);
}

void SlidingCount::add(Milliseconds now)
{
    this->advance(now);
    ++this->buckets.at(static_cast<std::size_t>(this->latest % static_cast<std::int64_t>(Buckets)));
    ++this->total;
}

std::uint64_t SlidingCount::count(Milliseconds now)
{
    this->advance(now);
    return this->total;
}

}
