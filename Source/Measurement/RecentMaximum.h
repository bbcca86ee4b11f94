#pragma once

#include "Base/Milliseconds.h"

#include <array>
#include <cstddef>
#include <optional>

namespace burlreach {

/** The longest of the durations that were added within the last one or two windows. */
class RecentMaximum {
public:
    struct Options {
        Milliseconds window{ 60000 };
        std::size_t least = 100; // durations, below which the longest says little about later ones
    };

    explicit RecentMaximum(Options options);

    void add(Milliseconds duration, Milliseconds now);
    /** Returns nothing if too few durations were added. */
    std::optional<Milliseconds> value(Milliseconds now) const;

private:
    struct Window {
        Milliseconds begin = LongAgo;
        Milliseconds longest;
        std::size_t count = 0;
    };

    Options options;
    std::array<Window, 2> windows; // the present one first
};

}
