#include "Http/AnswerProblem.h"

#include <array>
#include <cstddef>

namespace burlreach {

std::string_view nameOf(AnswerProblem problem)
{
    static constexpr std::array<std::string_view, 5> Names{ "none", "connection_ended", "invalid", "no_answer",
        "other_request" };
    return Names.at(static_cast<std::size_t>(problem));
}

}
