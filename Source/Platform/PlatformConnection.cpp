#include "Platform/PlatformConnection.h"

#include "Base/ChronoDuration.h"
#include <nlohmann/json.hpp>

namespace burlreach {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusTooMany = 429;
constexpr const char* IndexHeader = "X-Consul-Index";
constexpr Milliseconds WatchMargin{ 2000 };

std::uint64_t indexOf(const httplib::Response& response)
{
    return response.get_header_value<std::uint64_t>(IndexHeader);
}

/** The text under the key, or an empty one. */
std::string textOf(const nlohmann::json& object, const char* key)
{
    const auto found = object.is_object() ? object.find(key) : object.end();
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

nlohmann::json memberOf(const nlohmann::json& object, const char* key)
{
    const auto found = object.is_object() ? object.find(key) : object.end();
    return found != object.end() ? *found : nlohmann::json();
}

bool isLeaving(const nlohmann::json& service)
{
    return textOf(memberOf(service, "Meta"), "state") == "leaving";
}

}

PlatformConnection::PlatformConnection(PlatformOptions givenOptions, Milliseconds timeout)
    : options(std::move(givenOptions))
    , client(this->options.address.host, this->options.address.port)
{
    this->client.set_connection_timeout(toDuration(timeout));
    this->client.set_read_timeout(toDuration(timeout));
    this->client.set_write_timeout(toDuration(timeout));
    this->client.set_keep_alive(true);
    this->client.set_tcp_nodelay(true);
}

std::string PlatformConnection::pathOf(StoreDocument document) const
{
    const std::string name = document == StoreDocument::Configuration ? "configuration" : "ownership";
    return "/v1/kv/" + this->options.keyPrefix + name;
}

StoreAnswer PlatformConnection::call(const StoreRequest& request)
{
    return request.operation == StoreOperation::Read ? this->read(request) : this->write(request);
}

StoreAnswer PlatformConnection::read(const StoreRequest& request)
{
    StoreAnswer answer;
    answer.number = request.number;
    const auto result = this->client.Get(this->pathOf(request.document) + "?raw");
    if (!result)
        return answer;
    answer.index = indexOf(*result);
    if (result->status == StatusOk) {
        answer.status = StoreStatus::Done;
        answer.value = result->body;
    } else if (result->status == StatusNotFound) {
        answer.status = StoreStatus::Missing;
        answer.index = NoStoreIndex;
    } else
        answer.status = StoreStatus::Refused;
    return answer;
}

StoreAnswer PlatformConnection::write(const StoreRequest& request)
{
    StoreAnswer answer;
    answer.number = request.number;
    const std::string path = this->pathOf(request.document) + "?cas=" + std::to_string(request.expectedIndex);
    const auto result = this->client.Put(path, request.value, "application/octet-stream");
    const bool isRefused = !result && result.error() == httplib::Error::Connection;
    if (isRefused || (result && result->status == StatusTooMany))
        answer.status = StoreStatus::Refused;
    else if (result && result->status == StatusOk)
        answer.status = result->body.starts_with("true") ? StoreStatus::Done : StoreStatus::Conflict;
    return answer;
}

std::optional<StoredDocument> PlatformConnection::watch(StoreDocument document, std::uint64_t index, Milliseconds wait)
{
    this->client.set_read_timeout(toDuration(wait + WatchMargin));
    std::string path = this->pathOf(document) + "?raw";
    if (index)
        path += "&index=" + std::to_string(index) + "&wait=" + std::to_string(static_cast<std::int64_t>(wait.count))
            + "ms";
    const auto result = this->client.Get(path);
    if (!result || (result->status != StatusOk && result->status != StatusNotFound))
        return std::nullopt;
    StoredDocument found;
    found.index = indexOf(*result);
    if (result->status == StatusOk)
        found.value = result->body;
    return found;
}

std::optional<InstanceList> PlatformConnection::instances()
{
    const auto result = this->client.Get("/v1/health/service/" + this->options.serviceName);
    if (!result || result->status != StatusOk)
        return std::nullopt;
    const auto document = nlohmann::json::parse(result->body, nullptr, false);
    if (!document.is_array())
        return std::nullopt;
    InstanceList list;
    list.index = indexOf(*result);
    for (const auto& entry : document) {
        const auto service = memberOf(entry, "Service");
        ListedInstance instance;
        instance.name = textOf(service, "ID");
        instance.dataCentre = textOf(memberOf(service, "Meta"), "data_centre");
        const auto port = memberOf(service, "Port");
        instance.address = { .host = textOf(service, "Address"),
            .port = port.is_number_unsigned() ? port.get<std::uint16_t>() : std::uint16_t{ 0 } };
        instance.leaving = isLeaving(service);
        if (!instance.name.empty() && instance.address.port && isIpNumber(instance.address.host))
            list.instances.push_back(std::move(instance));
    }
    return list;
}

std::optional<std::vector<ListedBackendServer>> PlatformConnection::backendServers(const std::string& serviceName)
{
    const auto result = this->client.Get("/v1/health/service/" + serviceName);
    if (!result || result->status != StatusOk)
        return std::nullopt;
    const auto document = nlohmann::json::parse(result->body, nullptr, false);
    std::vector<ListedBackendServer> found;
    if (!document.is_array())
        return found;
    for (const auto& entry : document) {
        const auto service = memberOf(entry, "Service");
        found.push_back({ .name = textOf(service, "ID"), .leaving = isLeaving(service) });
    }
    return found;
}

void PlatformConnection::stop()
{
    this->client.stop();
}

}
