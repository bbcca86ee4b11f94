#include "Tests/Virtual/Step.h"

#include <array>

namespace burlreach {

std::string_view nameOf(Step step)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(Step::Count)> names{
        "run-once-arrived",
        "claim-sent",
        "claim-passed-on",
        "claim-answered",
        "run-once-sent",
        "run-once-started",
        "run-once-ended",
        "run-once-passed",
        "may-repeat-arrived",
        "may-repeat-sent",
        "may-repeat-ended",
        "change-asked",
        "configuration-read",
        "configuration-written",
        "documents-pulled",
        "documents-pushed",
        "told-in-force",
        "ownership-read",
        "ownership-written",
        "records-handed",
        "records-kept",
        "permit-asked",
        "permit-given",
        "probe-sent",
        "probe-ended",
        "backend-server-leaving",
        "stop-asked",
        "started",
    };
    static_assert(!names.back().empty());
    return names.at(static_cast<std::size_t>(step));
}

}
