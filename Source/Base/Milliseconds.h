#pragma once

#include <compare>
#include <limits>

namespace burlreach {

/**
 * A point in time or a span, in milliseconds with fractions.
 *
 * Points count from a start of the clock's own choice, so only their
 * differences have a meaning.
 */
struct Milliseconds {
    double count = 0;

    auto operator<=>(const Milliseconds&) const = default;
    Milliseconds operator+(Milliseconds other) const { return { this->count + other.count }; }
    Milliseconds operator-(Milliseconds other) const { return { this->count - other.count }; }
    Milliseconds operator*(double factor) const { return { this->count * factor }; }
    double operator/(Milliseconds other) const { return this->count / other.count; }
};

/** Later than every time that a clock gives. */
inline constexpr Milliseconds Never{ std::numeric_limits<double>::infinity() };

/** Earlier than every time that a clock gives. */
inline constexpr Milliseconds LongAgo{ -std::numeric_limits<double>::infinity() };

inline constexpr Milliseconds Second{ 1000 };

}
