// Stand-in for the store in burlreach's own form (POST /store/v1/read_range,
// watch, and write), with faults. Paths below /control/ are for tests.

#include <CLI/CLI.hpp>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <httplib.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace {

using nlohmann::json;

constexpr int StatusConflict = 409;
constexpr int StatusHistoryLost = 410;
constexpr int StatusTooMany = 429;
constexpr int StatusFailed = 500;
constexpr int StatusUnavailable = 503;
constexpr std::size_t ThreadCount = 96;
constexpr std::size_t EndlessKeepAlive = 1000000000;
constexpr std::size_t PageSize = 100;
constexpr auto SlowAnswer = std::chrono::milliseconds(700);

/** An item as written, with its revision. */
struct Change {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

json describe(const Change& change)
{
    return { { "key", change.key }, { "value", change.value }, { "revision", change.revision } };
}

class StoreStandIn {
public:
    StoreStandIn()
    {
        this->server.new_task_queue = [] { return new httplib::ThreadPool(ThreadCount); };
        this->server.set_keep_alive_max_count(EndlessKeepAlive);
        this->server.set_tcp_nodelay(true);
        this->addCall("/store/v1/read_range", &StoreStandIn::readRange);
        this->addCall("/store/v1/watch", &StoreStandIn::watch);
        this->addCall("/store/v1/write", &StoreStandIn::write);
        this->server.Put(
            R"(/control/fault/(.+))", [this](const auto& request, auto&) { this->setFault(request.matches[1]); });
        this->server.Get("/control/calls", [this](const auto&, auto& response) {
            response.set_content(json{ { "calls", this->calls.load() } }.dump(), "application/json");
        });
    }

    bool listen(const std::string& address, int port) { return this->server.listen(address, port); }

private:
    using Handler = void (StoreStandIn::*)(const json&, httplib::Response&);

    void addCall(const std::string& path, Handler handler)
    {
        this->server.Post(path, [this, handler](const httplib::Request& request, httplib::Response& response) {
            ++this->calls;
            if (!this->admit(response))
                return;
            const json body = json::parse(request.body, nullptr, false);
            (this->*handler)(body, response);
            // The answer is lost only after the change took effect.
            if (this->isFault("lose-answers"))
                response.status = StatusFailed;
        });
    }

    bool isFault(const std::string& name)
    {
        const std::lock_guard lock(this->mutex);
        return this->fault == name;
    }

    /** Returns false if the call fails because of the current fault. */
    bool admit(httplib::Response& response)
    {
        if (this->isFault("slow"))
            std::this_thread::sleep_for(SlowAnswer);
        if (this->isFault("down"))
            response.status = StatusUnavailable;
        else if (this->isFault("limited"))
            response.status = StatusTooMany;
        else
            return true;
        return false;
    }

    void answer(httplib::Response& response, json body, std::uint64_t at)
    {
        body["at"] = at;
        response.set_content(body.dump(), "application/json");
    }

    void readRange(const json& body, httplib::Response& response)
    {
        const std::lock_guard lock(this->mutex);
        const std::string prefix = body.value("prefix", "");
        const std::string after = body.value("after_key", "");
        json items = json::array();
        bool more = false;
        for (const auto& [key, change] : this->items) {
            if (!key.starts_with(prefix) || (!after.empty() && key <= after))
                continue;
            more = items.size() == PageSize;
            if (more)
                break;
            items.push_back(describe(change));
        }
        this->answer(response, { { "items", items }, { "more", more } }, this->last);
    }

    json changesSince(std::uint64_t after, const std::string& prefix) const
    {
        json items = json::array();
        for (const Change& change : this->history) {
            if (change.revision > after && change.key.starts_with(prefix))
                items.push_back(describe(change));
        }
        return items;
    }

    void watch(const json& body, httplib::Response& response)
    {
        std::unique_lock lock(this->mutex);
        const std::uint64_t after = body.value("after", std::uint64_t{ 0 });
        const std::string prefix = body.value("prefix", "");
        if (after < this->forgottenThrough) {
            response.status = StatusHistoryLost;
            return;
        }
        const std::chrono::duration<double, std::milli> wait(body.value("wait_milliseconds", 0.0));
        this->changed.wait_for(
            lock, wait, [&] { return !this->changesSince(after, prefix).empty() || this->fault == "down"; });
        if (this->fault == "down") {
            response.status = StatusUnavailable;
            return;
        }
        this->answer(response, { { "items", this->changesSince(after, prefix) } }, this->last);
    }

    void write(const json& body, httplib::Response& response)
    {
        const std::lock_guard lock(this->mutex);
        Change& item = this->items[body.value("key", "")];
        if (item.revision != body.value("expected", std::uint64_t{ 0 })) {
            response.status = StatusConflict;
            return;
        }
        item = { .key = body.value("key", ""), .value = body.value("value", ""), .revision = ++this->last };
        this->history.push_back(item);
        this->changed.notify_all();
        this->answer(response, json::object(), this->last);
    }

    void setFault(const std::string& name)
    {
        const std::lock_guard lock(this->mutex);
        if (name == "forget-history") {
            this->history.clear();
            this->forgottenThrough = this->last;
        } else
            this->fault = name == "none" ? "" : name;
        this->changed.notify_all();
    }

    httplib::Server server;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Change> items;
    std::deque<Change> history;
    std::uint64_t last = 0;
    std::uint64_t forgottenThrough = 0;
    std::string fault;
    std::atomic<std::uint64_t> calls{ 0 };
};

}

int main(int argc, char** argv)
{
    CLI::App program("Stand-in for the store");
    int port = 0;
    program.add_option("--port", port, "Port on 127.0.0.1")->required();
    CLI11_PARSE(program, argc, argv);
    StoreStandIn standIn;
    return standIn.listen("127.0.0.1", port) ? 0 : 1;
}
