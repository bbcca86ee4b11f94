#pragma once

#include <compare>
#include <limits>

namespace burlreach {

/**
 * A point in time or a duration, in milliseconds with fractions.
 *
 * The epoch of points in time is arbitrary, so only their differences are meaningful.
 */
struct Milliseconds {
    double count = 0;

    auto operator<=>(const Milliseconds&) const = default;
    Milliseconds operator+(Milliseconds other) const { return { this->count + other.count }; }
    Milliseconds operator-(Milliseconds other) const { return { this->count - other.count }; }
    Milliseconds operator*(double factor) const { return { this->count * factor }; }
    double operator/(Milliseconds other) const { return this->count / other.count; }
};

/** Later than any time of a clock. */
inline constexpr Milliseconds Never{ std::numeric_limits<double>::infinity() };

/** Earlier than any time of a clock. */
inline constexpr Milliseconds LongAgo{ -std::numeric_limits<double>::infinity() };

inline constexpr Milliseconds Second{ 1000 };

}
