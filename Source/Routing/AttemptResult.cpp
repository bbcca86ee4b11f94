#include "Routing/AttemptResult.h"

#include <array>

namespace burlreach {

namespace {

constexpr std::array<std::string_view, AttemptResultCount> Names{
    "answered",
    "error_answer",
    "not_sent",
    "refused_not_run",
    "other_server",
    "broken",
    "timed_out",
    "cancelled",
};

}

std::string_view nameOf(AttemptResult result)
{
    return Names.at(static_cast<std::size_t>(result));
}

}
