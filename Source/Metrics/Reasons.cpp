#include "Metrics/Reasons.h"

#include <array>

namespace burlreach {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(RefusalReason::Count)> RefusalNames{
    "no_service",
    "bad_request",
    "not_ready",
    "too_many_sessions",
    "body_too_large",
    "queue_full",
    "cannot_meet_deadline",
    "deadline_passed_waiting",
    "deadline_passed_sending",
    "no_backend_server",
    "backend_servers_refused",
    "answer_broken",
    "request_id_taken",
    "request_id_closed",
    "records_lost",
    "records_full",
    "owners_unreachable",
    "grant_too_old",
};

constexpr std::array<std::string_view, static_cast<std::size_t>(RetryReason::Count)> RetryNames{
    "not_sent",
    "refused_not_run",
    "error_answer",
    "answer_broken",
    "hedge",
};

constexpr std::array<std::string_view, static_cast<std::size_t>(DecisionCount::Count)> CountNames{
    "requests_arrived",
    "first_attempts",
    "answered",
    "refused_not_run",
    "refused_unknown",
    "retries_denied",
    "ejections",
    "callers_gone",
    "probes_sent",
    "probes_failed",
    "claims_granted",
    "claims_refused",
    "configurations_adopted",
    "ownerships_adopted",
    "peer_messages_refused",
};

static_assert(!RefusalNames.back().empty() && !RetryNames.back().empty() && !CountNames.back().empty());

}

std::string_view nameOf(RefusalReason reason)
{
    return RefusalNames.at(static_cast<std::size_t>(reason));
}

std::string_view nameOf(RetryReason reason)
{
    return RetryNames.at(static_cast<std::size_t>(reason));
}

std::string_view nameOf(DecisionCount count)
{
    return CountNames.at(static_cast<std::size_t>(count));
}

}
