#pragma once

#include "Base/Milliseconds.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace burlreach {

/** What happens in a run of the policy benchmark. */
enum class Disturbance {
    Steady,
    MorningRush, // searches times 5 within 50 ms
    SlowServer, // one server 10 times slower for 2 s
    FastFailer, // one server fails at once for 2 s
    FrozenReport, // one busy server's report says idle
    DrainAndColdStart,
    Overload, // 1.5 times capacity
    DataCentreLost,
    Count
};

std::string_view nameOf(Disturbance disturbance);

/** The classes of requests. */
enum class RequestKind {
    Search,
    Booking,
    Report,
    Count
};

std::string_view nameOf(RequestKind kind);

/** A kind of request in the mix. */
struct KindDescription {
    double share;
    double meanCost; // ms at a backend server
    double deadline; // ms
};

inline constexpr std::array<KindDescription, static_cast<std::size_t>(RequestKind::Count)> Kinds{ {
    { .share = 0.85, .meanCost = 4, .deadline = 500 },
    { .share = 0.10, .meanCost = 6, .deadline = 1000 },
    { .share = 0.05, .meanCost = 40, .deadline = 5000 },
} };

}
