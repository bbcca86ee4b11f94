#include "StoreClient/NativeStoreProtocol.h"

#include <nlohmann/json.hpp>

namespace burlreach {

namespace {

namespace http = boost::beast::http;

constexpr unsigned HttpVersion = 11;

nlohmann::json bodyOf(const StoreRequest& request)
{
    switch (request.operation) {
    case StoreOperation::ReadRange:
        return { { "prefix", request.key }, { "after_key", request.afterKey }, { "may_be_stale", request.mayBeStale } };
    case StoreOperation::Watch:
        return { { "prefix", request.key }, { "after", request.after }, { "wait_milliseconds", request.wait.count } };
    case StoreOperation::Write:
        return { { "key", request.key }, { "value", request.value }, { "expected", request.expected } };
    }
    return {};
}

StoreStatus statusOf(const HttpResponse& response)
{
    switch (response.result()) {
    case http::status::ok:
        return StoreStatus::Done;
    case http::status::conflict:
        return StoreStatus::Conflict;
    case http::status::gone:
        return StoreStatus::HistoryLost;
    case http::status::too_many_requests:
    case http::status::service_unavailable:
        return StoreStatus::Refused;
    default:
        return StoreStatus::Unknown;
    }
}

StoreItem itemOf(const nlohmann::json& item)
{
    return { .key = item.value("key", ""),
        .value = item.value("value", ""),
        .revision = item.value("revision", StoreRevision{ 0 }),
        .removed = item.value("removed", false) };
}

}

HttpRequest NativeStoreProtocol::encode(const StoreRequest& request) const
{
    const std::string path = "/store/v1/" + std::string(nameOf(request.operation));
    HttpRequest message(http::verb::post, path, HttpVersion);
    message.set(http::field::content_type, "application/json");
    setBody(message.body(), bodyOf(request).dump());
    return message;
}

StoreAnswer NativeStoreProtocol::decode(const StoreRequest& request, const HttpResponse& response) const
{
    StoreAnswer answer;
    answer.number = request.number;
    answer.status = statusOf(response);
    if (answer.status != StoreStatus::Done)
        return answer;
    const nlohmann::json body = nlohmann::json::parse(textOf(response.body()), nullptr, false);
    if (!body.is_object() || !body.contains("at")) {
        answer.status = StoreStatus::Unknown;
        return answer;
    }
    answer.at = body.value("at", StoreRevision{ 0 });
    answer.more = body.value("more", false);
    for (const nlohmann::json& item : body.value("items", nlohmann::json::array()))
        answer.items.push_back(itemOf(item));
    return answer;
}

}
