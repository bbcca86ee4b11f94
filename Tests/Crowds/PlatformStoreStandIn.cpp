#include "Tests/Crowds/PlatformStoreStandIn.h"

#include "Base64.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace burlreach {

namespace {

constexpr int ConditionFailed = 412;
constexpr std::size_t ThreadCount = 16;
constexpr const char* JsonType = "application/json";

std::uint64_t numberOf(const httplib::Request& request, const char* name)
{
    return request.has_param(name) ? std::stoull(request.get_param_value(name)) : 0;
}

}

PlatformStoreStandIn::PlatformStoreStandIn()
{
    this->server.new_task_queue = [] { return new httplib::ThreadPool(ThreadCount); };
    this->server.set_tcp_nodelay(true);
    this->server.Get("/kv-range", [this](const auto& request, auto& response) { this->range(request, response); });
    this->server.Get("/kv-watch", [this](const auto& request, auto& response) { this->watch(request, response); });
    this->server.Post("/kv-txn", [this](const auto& request, auto& response) { this->change(request, response); });
    this->port = static_cast<std::uint16_t>(this->server.bind_to_any_port("127.0.0.1"));
    this->thread = std::thread([this] { this->server.listen_after_bind(); });
}

PlatformStoreStandIn::~PlatformStoreStandIn()
{
    {
        const std::lock_guard lock(this->mutex);
        this->isEnding = true;
        this->changed.notify_all();
    }
    this->server.stop();
    this->thread.join();
}

std::string PlatformStoreStandIn::itemsAfter(std::uint64_t after, const std::string& prefix) const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [key, item] : this->items) {
        if (key.starts_with(prefix) && item.revision > after)
            list.push_back({ { "key", key }, { "value", item.value }, { "revision", item.revision },
                { "made", item.revision }, { "lease", 0 } });
    }
    return list.dump();
}

void PlatformStoreStandIn::range(const httplib::Request& request, httplib::Response& response)
{
    const std::lock_guard lock(this->mutex);
    response.set_content(R"({"items":)" + this->itemsAfter(0, request.get_param_value("path_prefix"))
            + R"(,"more":false,"at":)" + std::to_string(this->revision) + "}",
        JsonType);
}

void PlatformStoreStandIn::watch(const httplib::Request& request, httplib::Response& response)
{
    const std::uint64_t after = numberOf(request, "after");
    const std::chrono::milliseconds wait(numberOf(request, "wait_ms"));
    std::unique_lock lock(this->mutex);
    this->upToDateWatches += after >= this->revision ? 1 : 0;
    this->changed.wait_for(lock, wait, [&] { return this->isEnding || this->revision > after; });
    response.set_content(R"({"events":)" + this->itemsAfter(after, request.get_param_value("path_prefix")) + R"(,"at":)"
            + std::to_string(this->revision) + "}",
        JsonType);
}

void PlatformStoreStandIn::change(const httplib::Request& request, httplib::Response& response)
{
    const auto body = nlohmann::json::parse(request.body);
    const std::lock_guard lock(this->mutex);
    for (const auto& condition : body.value("expected_revision", nlohmann::json::array())) {
        const auto found = this->items.find(condition.at("key"));
        const std::uint64_t present = found == this->items.end() ? 0 : found->second.revision;
        if (present == condition.at("revision"))
            continue;
        response.status = ConditionFailed;
        response.set_content(R"({"items":)" + this->itemsAfter(0, condition.at("key")) + "}", JsonType);
        return;
    }
    for (const auto& item : body.value("put", nlohmann::json::array()))
        this->write(item.at("key"), item.at("value"));
    response.set_content(R"({"revision":)" + std::to_string(this->revision) + "}", JsonType);
}

void PlatformStoreStandIn::write(const std::string& key, const std::string& encodedValue)
{
    this->items[key] = { .value = encodedValue, .revision = ++this->revision };
    this->upToDateWatches = 0;
    this->changed.notify_all();
}

void PlatformStoreStandIn::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(this->mutex);
    this->write(key, platform::encodeBase64(value));
}

std::size_t PlatformStoreStandIn::watchesPastAll()
{
    const std::lock_guard lock(this->mutex);
    return this->upToDateWatches;
}

}
