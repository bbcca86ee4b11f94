#include "Metrics/Reasons.h"

#include <array>

namespace burlreach {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(RefusalReason::Count)> RefusalNames{
    "no_route",
    "bad_request",
    "key_missing",
    "key_unknown",
    "quota_exceeded",
    "quota_unconfirmed",
    "not_ready",
    "too_many_sessions",
    "body_too_large",
    "memory_full",
    "queue_full",
    "waited_too_long",
    "deadline_passed_waiting",
    "deadline_passed_sending",
    "no_backend_server",
    "data_centre_emptied",
    "crashes_backend_servers",
    "backend_servers_paused",
    "backend_servers_limited",
    "backend_servers_refused",
    "answer_broken",
    "no_path",
    "stopping",
};

constexpr std::array<std::string_view, static_cast<std::size_t>(RetryReason::Count)> RetryNames{
    "not_sent",
    "refused_not_run",
    "other_server",
    "error_answer",
    "answer_broken",
    "hedge",
};

constexpr std::array<std::string_view, static_cast<std::size_t>(HedgeDenial::Count)> DenialNames{
    "no_server",
    "budget",
    "kept_for_retries",
    "too_late",
};

constexpr std::array<DecisionCount, static_cast<std::size_t>(HedgeDenial::Count)> DenialCounts{
    DecisionCount::HedgesWithoutServer,
    DecisionCount::HedgesDenied,
    DecisionCount::HedgesLeftToRetries,
    DecisionCount::HedgesTooLate,
};

constexpr std::array<std::string_view, static_cast<std::size_t>(HoldReason::Count)> HoldNames{
    "no_known_room",
    "expected_load",
    "slow",
    "no_recent_report",
    "behind_others",
};

constexpr std::array<std::string_view, static_cast<std::size_t>(DecisionCount::Count)> CountNames{
    "requests_arrived",
    "first_attempts",
    "answered",
    "answers_begun",
    "answers_broken_off",
    "refused_not_run",
    "refused_unknown",
    "retries_denied",
    "retries_withheld",
    "hedges_won",
    "ejections",
    "callers_gone",
    "late_callers",
    "probes_sent",
    "probes_failed",
    "probes_denied",
    "pauses_asked",
    "limits_named",
    "permits_asked",
    "permits_granted",
    "permits_unanswered",
    "configurations_adopted",
    "configurations_unreadable",
    "store_answers",
    "store_failures",
    "stale_spells",
    "peer_messages_refused",
    "credits_asked",
    "credits_granted",
    "server_ends_seen",
    "requests_found_crashing",
    "crashes_disproved",
    "hedges_without_server",
    "hedges_denied",
    "hedges_left_to_retries",
    "hedges_too_late",
    "last_choices_expected_load",
    "last_choices_slow",
    "last_choices_no_recent_report",
    "last_choices_behind_others",
    "paths_lost",
    "attempts_relayed",
    "relays_ended",
    "relays_opened",
    "relays_refused",
    "pulls_sent",
    "pulls_answered",
    "changes_packed",
    "credit_share_checks",
};

static_assert(!RefusalNames.back().empty() && !RetryNames.back().empty() && !HoldNames.back().empty()
    && !CountNames.back().empty());

}

std::string_view nameOf(RefusalReason reason)
{
    return RefusalNames.at(static_cast<std::size_t>(reason));
}

std::string_view nameOf(RetryReason reason)
{
    return RetryNames.at(static_cast<std::size_t>(reason));
}

std::string_view nameOf(HedgeDenial denial)
{
    return DenialNames.at(static_cast<std::size_t>(denial));
}

DecisionCount countOf(HedgeDenial denial)
{
    return DenialCounts.at(static_cast<std::size_t>(denial));
}

std::string_view nameOf(HoldReason reason)
{
    return HoldNames.at(static_cast<std::size_t>(reason));
}

DecisionCount lastChoiceCountOf(HoldReason reason)
{
    switch (reason) {
    case HoldReason::Slow:
        return DecisionCount::LastChoicesSlow;
    case HoldReason::NoRecentReport:
        return DecisionCount::LastChoicesNoRecentReport;
    case HoldReason::BehindOthers:
        return DecisionCount::LastChoicesBehindOthers;
    default:
        return DecisionCount::LastChoicesExpectedLoad;
    }
}

std::string_view nameOf(DecisionCount count)
{
    return CountNames.at(static_cast<std::size_t>(count));
}

}
