#include "Traffic/NativeTrafficDialect.h"

#include "Traffic/FieldValues.h"
#include "Traffic/NamedLimit.h"
#include "Traffic/NativeHeaders.h"
#include "Traffic/RefusalStatus.h"
#include "Traffic/RetryAfter.h"

#include <algorithm>
#include <array>

namespace burlreach {

namespace {

namespace http = boost::beast::http;

constexpr unsigned FirstErrorStatus = 500;
constexpr std::array<const char*, 5> AnswerFields{ RequestIdHeader, NotRunHeader, LoadHeader, LeavingHeader,
    LimitHeader };

AttemptResult resultOf(const HttpResponse& response)
{
    if (response.result() == http::status::misdirected_request)
        return AttemptResult::OtherServer;
    if (!valueOf(response, NotRunHeader).empty())
        return AttemptResult::RefusedNotRun;
    return response.result_int() >= FirstErrorStatus ? AttemptResult::ErrorAnswer : AttemptResult::Answered;
}

}

bool NativeTrafficDialect::variesByAttempt(std::string_view field) const
{
    return boost::beast::iequals(field, RequestIdHeader) || boost::beast::iequals(field, DeadlineHeader);
}

CallerFields NativeTrafficDialect::readCaller(const HttpRequest& request) const
{
    CallerFields fields;
    fields.requestId = valueOf(request, RequestIdHeader);
    fields.credential = readBearerKey(request);
    const std::string_view deadline = valueOf(request, DeadlineHeader);
    if (!deadline.empty()) {
        fields.timeLeft = parseMilliseconds(deadline);
        fields.isValid = fields.timeLeft.has_value();
    }
    return fields;
}

void NativeTrafficDialect::writeAttempt(HttpRequest& request, const AttemptFields& fields) const
{
    setField(request, DeadlineHeader, formatMilliseconds(fields.timeLeft));
    setField(request, BackendServerHeader, fields.backendServer);
    writeCustomer(request, CustomerHeader, fields.customer);
}

void NativeTrafficDialect::writeProbe(HttpRequest& request, const std::string& backendServer) const
{
    setField(request, BackendServerHeader, backendServer);
}

bool NativeTrafficDialect::isKnownAnswerField(std::string_view field) const
{
    return std::any_of(AnswerFields.begin(), AnswerFields.end(),
        [field](const char* known) { return boost::beast::iequals(field, known); });
}

AnswerMatch NativeTrafficDialect::matchAnswer(const HttpResponse& response, std::string_view requestId) const
{
    // Backend servers need not send the id back.
    const std::string_view answeredId = valueOf(response, RequestIdHeader);
    return answeredId.empty() || answeredId == requestId ? AnswerMatch::Own : AnswerMatch::OtherRequest;
}

ServerNotice NativeTrafficDialect::readNotice(const HttpResponse& response, std::string_view) const
{
    if (resultOf(response) == AttemptResult::OtherServer)
        return {};
    ServerNotice notice;
    notice.isLeaving = !valueOf(response, LeavingHeader).empty();
    notice.limit = namedLimitOf(response, LimitHeader);
    if (response.result() == http::status::service_unavailable)
        notice.pause = retryAfterOf(response).value_or(Milliseconds{});
    return notice;
}

AttemptEnd NativeTrafficDialect::readAnswer(const HttpResponse& response, std::string_view) const
{
    AttemptEnd end;
    end.result = resultOf(response);
    end.status = static_cast<int>(response.result_int());
    end.load = parseLoad(valueOf(response, LoadHeader));
    if (valueOf(response, LoadHeader).empty())
        end.load.reset();
    end.claimsNotRun
        = end.result == AttemptResult::ErrorAnswer && response.result() == http::status::service_unavailable;
    return end;
}

ProbeEnd NativeTrafficDialect::readProbe(const HttpResponse& response, std::string_view backendServer) const
{
    const AttemptEnd answer = this->readAnswer(response, backendServer);
    ProbeEnd end;
    end.isAnswered = true;
    end.isOtherServer = answer.result == AttemptResult::OtherServer;
    end.load = answer.load;
    return end;
}

void NativeTrafficDialect::writeAnswer(HttpResponse& response) const
{
    setField(response, OutcomeHeader, "answered");
}

HttpResponse NativeTrafficDialect::makeRefusal(const RefuseRequest& refusal, std::string_view requestId) const
{
    HttpResponse response(statusOf(refusal), 11);
    if (!requestId.empty())
        setField(response, RequestIdHeader, requestId);
    setField(response, OutcomeHeader, refusal.outcome == RefusedOutcome::NotRun ? "not-run" : "unknown");
    setField(response, ReasonHeader, nameOf(refusal.reason));
    setField(response, "Retry-After", formatSeconds(refusal.retryAfter));
    if (response.result() == http::status::unauthorized)
        setField(response, "WWW-Authenticate", "Bearer");
    setField(response, "Content-Type", "text/plain; charset=utf-8");
    setBody(response.body(), "burlreach: " + std::string(nameOf(refusal.reason)) + "\n");
    return response;
}

}
