#include "Node/RequestRecords.h"

#include <utility>

namespace burlreach {

namespace {

std::string_view nameOf(RefusedOutcome outcome)
{
    return outcome == RefusedOutcome::NotRun ? "not_run" : "unknown";
}

/** Adds what tells in which part of an answer its end came. */
void addAnswerEnd(DecisionRecord& record, const Flight& flight, const AttemptEnd& end)
{
    if (end.sinceHeader)
        record.with("since_header", end.sinceHeader->count);
    if (flight.answerBeganAt)
        record.with("passed_on_bytes", end.passedOnBytes);
}

DecisionRecord withHoldReason(DecisionRecord record, const RequestState& request)
{
    if (request.heldBy)
        record.with("held_by", burlreach::nameOf(*request.heldBy));
    return record;
}

}

DecisionRecord recordOfRequest(RecordTopic topic, std::string_view event, const RequestState& request)
{
    DecisionRecord record{ .topic = topic, .event = event, .subject = request.requestId, .fields = {} };
    return record.with("route", request.route->name);
}

DecisionRecord recordOfUnrouted(const RequestArrived& event, RefusalReason reason, std::uint64_t version)
{
    DecisionRecord record{
        .topic = RecordTopic::Refusal, .event = "request_refused", .subject = event.requestId, .fields = {}
    };
    return record.with("host", event.host)
        .with("path", event.path)
        .with("reason", burlreach::nameOf(reason))
        .with("version", version);
}

DecisionRecord recordOfSent(
    const RequestState& request, const BackendServerState& server, const KnowledgeUsed& used, Milliseconds now)
{
    const TimedLoadReport& report = server.report();
    DecisionRecord record = recordOfRequest(RecordTopic::Request, "attempt_sent", request);
    record.with("server", server.id())
        .with("attempt", std::uint64_t{ request.attempts })
        .with("in_flight", std::uint64_t{ server.inFlight() })
        .with("others", report.requestsFromOthers)
        .with("work_percent", std::uint64_t{ report.load.workPercent })
        .with("figures_age", (now - report.at).count)
        .with("waited", (now - request.arrivedAt).count)
        .with("time_left", (request.deadline - now).count)
        .with("confirmed_age", (now - used.confirmedAt).count)
        .with("version", used.version);
    return withHoldReason(std::move(record), request);
}

DecisionRecord recordOfAnswerBegun(
    const RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now)
{
    DecisionRecord record = recordOfRequest(RecordTopic::Request, "answer_begun", request);
    return record.with("server", flight.server->id())
        .with("status", static_cast<std::uint64_t>(end.status))
        .with("attempts", std::uint64_t{ request.attempts })
        .with("took", (now - request.arrivedAt).count)
        .with("at_server", (now - flight.sentAt).count);
}

DecisionRecord recordOfFailed(
    const RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now)
{
    DecisionRecord record = recordOfRequest(RecordTopic::Refusal, "attempt_failed", request);
    record.with("server", flight.server->id())
        .with("result", burlreach::nameOf(end.result))
        .with("connect", burlreach::nameOf(end.connect))
        .with("status", static_cast<std::uint64_t>(end.status))
        .with("took", (now - flight.sentAt).count);
    addAnswerEnd(record, flight, end);
    if (flight.relay)
        record.with("relay", flight.relay->host);
    // The server may have crashed while running the request; these fields identify the same request in other records.
    if (end.result == AttemptResult::Broken)
        record.with("problem", end.problem)
            .with("path", request.path)
            .with("caller", request.caller)
            .with("digest", request.digest.text());
    return record;
}

DecisionRecord recordOfRetryDenied(const RequestState& request, Milliseconds now)
{
    const RetryUsage usage = request.service->retryBudget.usage(now);
    DecisionRecord record = recordOfRequest(RecordTopic::Refusal, "retry_denied", request);
    record.with("service", request.service->description.name)
        .with("first_attempts", usage.firstAttempts)
        .with("retries", usage.retries);
    if (usage.instances)
        record.with("instances", std::uint64_t{ *usage.instances });
    return record;
}

DecisionRecord recordOfAnswered(
    const RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now)
{
    DecisionRecord record = recordOfRequest(RecordTopic::Request, "request_answered", request);
    record.with("server", flight.server->id())
        .with("status", static_cast<std::uint64_t>(end.status))
        .with("attempts", std::uint64_t{ request.attempts })
        .with("took", (now - request.arrivedAt).count)
        .with("at_server", (now - flight.sentAt).count);
    addAnswerEnd(record, flight, end);
    if (request.hedgeDenial)
        record.with("no_hedge", burlreach::nameOf(*request.hedgeDenial));
    return record;
}

DecisionRecord recordOfRefused(
    const RequestState& request, const RefuseRequest& refusal, std::uint64_t version, Milliseconds now)
{
    DecisionRecord record = recordOfRequest(RecordTopic::Refusal, "request_refused", request);
    record.with("outcome", nameOf(refusal.outcome))
        .with("reason", burlreach::nameOf(refusal.reason))
        .with("attempts", std::uint64_t{ request.attempts })
        .with("took", (now - request.arrivedAt).count)
        .with("come_back_after", refusal.retryAfter.count)
        .with("spent_before", request.spentBefore.count)
        .with("late", request.isLate ? "yes" : "no")
        .with("waiting", std::uint64_t{ request.service ? request.service->queue.size() : 0 })
        .with("version", version);
    if (!request.identity.customer.empty())
        record.with("customer", request.identity.customer);
    return withHoldReason(std::move(record), request);
}

}
