#include "Node/RequestRefuser.h"

#include "Admission/RetryAfterDelay.h"
#include "Node/RefusalRules.h"
#include "Node/RequestRecords.h"

#include <utility>

namespace burlreach {

void RequestRefuser::refuseUnrouted(const RequestArrived& event, RefusalReason reason, Actions& actions) const
{
    this->dependencies.counters->add(reason);
    this->dependencies.counters->add(DecisionCount::RefusedNotRun);
    actions.emplace_back(recordOfUnrouted(event, reason, this->dependencies.services->version()));
    actions.emplace_back(RefuseRequest{ .request = event.request,
        .outcome = RefusedOutcome::NotRun,
        .reason = reason,
        .retryAfter = DefaultRetryAfter });
}

void RequestRefuser::refuse(const RequestState& request, RefusalReason reason, Milliseconds now, Actions& actions) const
{
    const bool mayHaveRun = request.history.mayHaveRun > 0;
    const RefusedOutcome outcome = mayHaveRun ? RefusedOutcome::Unknown : RefusedOutcome::NotRun;
    this->dependencies.counters->add(reason);
    this->dependencies.counters->add(mayHaveRun ? DecisionCount::RefusedUnknown : DecisionCount::RefusedNotRun);
    const Milliseconds usual = reason == RefusalReason::CrashesBackendServers
        ? this->dependencies.crashes->refusedFor(request, now)
        : retryAfterFor(request, reason, this->dependencies.random->unit(), now);
    const Milliseconds comeBack = request.retryAfter.value_or(usual);
    const RefuseRequest refusal{
        .request = request.number, .outcome = outcome, .reason = reason, .retryAfter = comeBack
    };
    DecisionRecord record = recordOfRefused(request, refusal, this->dependencies.services->version(), now);
    if (reason == RefusalReason::NoPath)
        record = this->dependencies.paths->withEvidence(std::move(record), request.service->description.name, now);
    actions.emplace_back(std::move(record));
    actions.emplace_back(refusal);
}

}
