#include "Http/AnswerProblem.h"

#include <array>
#include <cstddef>

namespace burlreach {

bool isOverLimit(AnswerProblem problem)
{
    return problem == AnswerProblem::TooLong || problem == AnswerProblem::TooManyAnswers
        || problem == AnswerProblem::MemoryFull;
}

std::string_view nameOf(AnswerProblem problem)
{
    static constexpr std::array<std::string_view, 9> names{ "none", "connection_ended", "relay_ended", "invalid",
        "no_answer", "other_request", "too_long", "too_many_answers", "memory_full" };
    return names.at(static_cast<std::size_t>(problem));
}

}
