#include "PlatformStore.h"

#include <algorithm>
#include <cstdlib>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr int Done = 200;
constexpr int NotFound = 404;
constexpr int ConditionFailed = 412;
constexpr int Decimal = 10;

std::string unescaped(std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::string found;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] != '%' || index + 2 >= text.size()) {
            found += text[index];
            continue;
        }
        found += static_cast<char>(std::strtoul(std::string(text.substr(index + 1, 2)).c_str(), nullptr, hexadecimal));
        index += 2;
    }
    return found;
}

std::map<std::string, std::string> queryOf(std::string_view text)
{
    std::map<std::string, std::string> query;
    while (!text.empty()) {
        const std::string_view part = text.substr(0, text.find('&'));
        const std::size_t equals = std::min(part.find('='), part.size());
        query[std::string(part.substr(0, equals))] = unescaped(part.substr(std::min(equals + 1, part.size())));
        text.remove_prefix(std::min(part.size() + 1, text.size()));
    }
    return query;
}

std::string valueOf(const std::map<std::string, std::string>& query, const std::string& name)
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

}

PlatformStore::PlatformStore()
{
    const int listener = listenAt(this->listenAddress);
    std::thread([this, listener] { this->acceptAll(listener); }).detach();
}

void PlatformStore::acceptAll(int listener)
{
    while (true) {
        const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            return;
        std::thread([this, connection] { this->serve(connection); }).detach();
    }
}

void PlatformStore::serve(int connection)
{
    MessageReader reader(connection);
    while (const auto message = reader.next()) {
        const std::string target = message->word(1);
        const std::size_t mark = std::min(target.find('?'), target.size());
        const Call call{ .path = target.substr(0, mark),
            .query = queryOf(std::string_view(target).substr(std::min(mark + 1, target.size()))),
            .body = parseJson(message->body) };
        const Reply reply = this->handle(call);
        const std::string text = "HTTP/1.1 " + std::to_string(reply.status)
            + " Answer\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(reply.body.size())
            + "\r\n\r\n" + reply.body;
        if (!sendAll(connection, text))
            break;
    }
    close(connection);
}

PlatformStore::Reply PlatformStore::handle(const Call& call)
{
    if (call.path == "/kv-range")
        return this->range(call);
    if (call.path == "/kv-watch")
        return this->watch(call);
    if (call.path == "/kv-txn")
        return this->change(call);
    return { .status = NotFound, .body = "{}" };
}

std::string PlatformStore::describe(const std::string& key, const Item& item)
{
    return R"({"key":")" + key + R"(","value":")" + item.value + R"(","revision":)" + std::to_string(item.revision)
        + R"(,"made":)" + std::to_string(item.made) + R"(,"lease":0})";
}

PlatformStore::Reply PlatformStore::range(const Call& call)
{
    const std::string prefix = valueOf(call.query, "path_prefix");
    const std::string after = valueOf(call.query, "after");
    const std::lock_guard lock(this->mutex);
    std::string list;
    for (const auto& [key, item] : this->items) {
        if (key.starts_with(prefix) && key > after)
            list += (list.empty() ? "" : ",") + describe(key, item);
    }
    return { .status = Done,
        .body = R"({"items":[)" + list + R"(],"more":false,"at":)" + std::to_string(this->revision) + "}" };
}

std::string PlatformStore::eventsAfter(std::uint64_t after, const std::string& prefix) const
{
    std::string list;
    for (const Event& event : this->history) {
        if (event.revision > after && event.key.starts_with(prefix))
            list += (list.empty() ? "" : ",") + event.json;
    }
    return list;
}

PlatformStore::Reply PlatformStore::watch(const Call& call)
{
    const std::string prefix = valueOf(call.query, "path_prefix");
    const std::uint64_t after = std::strtoull(valueOf(call.query, "after").c_str(), nullptr, Decimal);
    const std::chrono::milliseconds wait(std::strtoull(valueOf(call.query, "wait_ms").c_str(), nullptr, Decimal));
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, wait, [&] { return !this->eventsAfter(after, prefix).empty(); });
    return { .status = Done,
        .body
        = R"({"events":[)" + this->eventsAfter(after, prefix) + R"(],"at":)" + std::to_string(this->revision) + "}" };
}

PlatformStore::Reply PlatformStore::change(const Call& call)
{
    const std::lock_guard lock(this->mutex);
    for (const Json& condition : call.body.at("expected_revision").list) {
        const auto found = this->items.find(condition.at("key").text);
        const std::uint64_t present = found == this->items.end() ? 0 : found->second.revision;
        if (present == condition.at("revision").number)
            continue;
        const std::string item = found == this->items.end() ? std::string() : describe(found->first, found->second);
        return { .status = ConditionFailed, .body = R"({"items":[)" + item + "]}" };
    }
    for (const Json& item : call.body.at("put").list)
        this->write(item.at("key").text, item.at("value").text);
    return { .status = Done, .body = R"({"revision":)" + std::to_string(this->revision) + "}" };
}

void PlatformStore::write(const std::string& key, const std::string& encodedValue)
{
    Item& item = this->items[key];
    item.value = encodedValue;
    item.revision = ++this->revision;
    item.made = item.made ? item.made : item.revision;
    this->history.push_back({ .revision = item.revision, .key = key, .json = describe(key, item) });
    this->changed.notify_all();
}

void PlatformStore::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(this->mutex);
    this->write(key, encodeBase64(value));
}

}
