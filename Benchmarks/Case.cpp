#include "Benchmarks/Case.h"

namespace burlreach {

std::string_view nameOf(Disturbance disturbance)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(Disturbance::Count)> names{ "steady",
        "morning-rush", "slow-server", "fast-failer", "frozen-report", "drain-and-cold-start", "overload",
        "data-centre-lost" };
    return names.at(static_cast<std::size_t>(disturbance));
}

std::string_view nameOf(RequestKind kind)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(RequestKind::Count)> names{ "search", "booking",
        "report" };
    return names.at(static_cast<std::size_t>(kind));
}

}
