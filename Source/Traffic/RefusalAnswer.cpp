#include "Traffic/RefusalAnswer.h"

#include "Traffic/Headers.h"

#include <cmath>

namespace burlreach {

namespace {

constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int ContentTooLarge = 413;
constexpr int BadGateway = 502;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;
constexpr double MillisecondsPerSecond = 1000;

int statusOf(const RefuseRequest& refusal)
{
    switch (refusal.reason) {
    case RefusalReason::NoService:
        return NotFound;
    case RefusalReason::BadRequest:
        return BadRequest;
    case RefusalReason::BodyTooLarge:
        return ContentTooLarge;
    case RefusalReason::RequestIdTaken:
    case RefusalReason::RequestIdClosed:
        return Conflict;
    case RefusalReason::AnswerBroken:
        return BadGateway;
    case RefusalReason::DeadlinePassedSending:
        return GatewayTimeout;
    default:
        return ServiceUnavailable;
    }
}

std::string_view outcomeOf(const RefuseRequest& refusal)
{
    return refusal.outcome == RefusedOutcome::NotRun ? "not-run" : "unknown";
}

}

CallerAnswer refusalAnswer(const RefuseRequest& refusal)
{
    const auto milliseconds = std::to_string(static_cast<std::int64_t>(std::ceil(refusal.comeBackAfter.count)));
    const auto seconds
        = std::to_string(static_cast<std::int64_t>(std::ceil(refusal.comeBackAfter.count / MillisecondsPerSecond)));
    const std::string outcome(outcomeOf(refusal));
    const std::string reason(nameOf(refusal.reason));
    CallerAnswer answer;
    answer.status = statusOf(refusal);
    answer.headers = {
        { .name = OutcomeHeader, .value = outcome },
        { .name = ReasonHeader, .value = reason },
        { .name = "Retry-After", .value = seconds },
        { .name = ComeBackHeader, .value = milliseconds },
        { .name = "Content-Type", .value = "application/json" },
    };
    if (refusal.outcome == RefusedOutcome::NotRun)
        answer.headers.push_back({ .name = NotRunHeader, .value = "1" });
    if (!refusal.requestId.empty())
        answer.headers.push_back({ .name = RequestIdHeader, .value = refusal.requestId });
    answer.body = R"({"outcome":")" + outcome + R"(","reason":")" + reason + R"(","retry_after_milliseconds":)"
        + milliseconds + "}\n";
    return answer;
}

}
