#include "Traffic/RefusalStatus.h"

namespace burlreach {

namespace {

namespace http = boost::beast::http;

constexpr unsigned FirstErrorStatus = 500;

http::status statusOfNotRun(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoRoute:
        return http::status::not_found;
    case RefusalReason::BadRequest:
        return http::status::bad_request;
    case RefusalReason::BodyTooLarge:
        return http::status::payload_too_large;
    case RefusalReason::KeyMissing:
    case RefusalReason::KeyUnknown:
        return http::status::unauthorized;
    case RefusalReason::QuotaExceeded:
        return http::status::too_many_requests;
    default:
        return http::status::service_unavailable;
    }
}

}

http::status statusOf(const RefuseRequest& refusal)
{
    if (refusal.outcome == RefusedOutcome::NotRun)
        return statusOfNotRun(refusal.reason);
    const bool isLate = refusal.reason == RefusalReason::DeadlinePassedSending;
    return isLate ? http::status::gateway_timeout : http::status::bad_gateway;
}

bool needsRetryAfter(http::status status)
{
    return static_cast<unsigned>(status) >= FirstErrorStatus || status == http::status::too_many_requests;
}

}
