// Stand-in for the platform's key-value service and instance lists, with a
// fault port. Published paths: /v1/kv/KEY (raw reads, compare-and-swap writes,
// waiting reads) and /v1/health/service/NAME. Everything under /control/ is
// for tests.

#include <CLI/CLI.hpp>
#include <chrono>
#include <condition_variable>
#include <httplib.h>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace {

constexpr const char* IndexHeader = "X-Consul-Index";
constexpr int StatusNotFound = 404;
constexpr int StatusTooMany = 429;
constexpr int StatusFailed = 500;
constexpr std::size_t ThreadCount = 96;
constexpr std::size_t EndlessKeepAlive = 1000000000;

struct Entry {
    std::string value;
    std::uint64_t index = 0;
};

class PlatformStandIn {
public:
    PlatformStandIn()
    {
        this->server.new_task_queue = [] { return new httplib::ThreadPool(ThreadCount); };
        this->server.set_keep_alive_max_count(EndlessKeepAlive);
        this->server.set_tcp_nodelay(true);
        this->server.Get(
            R"(/v1/kv/(.+))", [this](const auto& request, auto& response) { this->read(request, response); });
        this->server.Put(
            R"(/v1/kv/(.+))", [this](const auto& request, auto& response) { this->write(request, response); });
        this->server.Get(R"(/v1/health/service/(.+))",
            [this](const auto& request, auto& response) { this->list(request, response); });
        this->server.Put(R"(/control/list/(.+))", [this](const auto& request, auto&) { this->setList(request); });
        this->server.Put(
            R"(/control/fault/(.+))", [this](const auto& request, auto&) { this->setFault(request.matches[1]); });
        this->server.Get("/control/calls", [this](const auto&, auto& response) { this->showCalls(response); });
    }

    bool listen(const std::string& address, int port) { return this->server.listen(address, port); }

private:
    /** False when the call fails because of a fault that is set. */
    bool admit(httplib::Response& response)
    {
        std::unique_lock lock(this->mutex);
        if (this->fault == "slow")
            this->changed.wait_for(lock, std::chrono::seconds(3), [this] { return this->fault != "slow"; });
        if (this->fault == "down")
            response.status = StatusFailed;
        else if (this->fault == "limited")
            response.status = StatusTooMany;
        else
            return true;
        return false;
    }

    void read(const httplib::Request& request, httplib::Response& response)
    {
        ++this->reads;
        if (!this->admit(response))
            return;
        const std::string key = request.matches[1];
        std::unique_lock lock(this->mutex);
        if (request.has_param("index")) {
            const std::uint64_t known = std::stoull(request.get_param_value("index"));
            const auto wait = std::chrono::milliseconds(std::stoll(request.get_param_value("wait")));
            this->changed.wait_for(
                lock, wait, [&] { return this->entries[key].index > known || this->fault == "down"; });
            if (this->fault == "down") {
                response.status = StatusFailed;
                return;
            }
        }
        const Entry& entry = this->entries[key];
        response.set_header(IndexHeader, std::to_string(entry.index));
        if (entry.index)
            response.set_content(entry.value, "application/octet-stream");
        else
            response.status = StatusNotFound;
    }

    void write(const httplib::Request& request, httplib::Response& response)
    {
        ++this->writes;
        if (!this->admit(response))
            return;
        const std::lock_guard lock(this->mutex);
        Entry& entry = this->entries[request.matches[1]];
        const bool isCurrent = std::stoull(request.get_param_value("cas")) == entry.index;
        if (isCurrent) {
            entry = { .value = request.body, .index = ++this->lastIndex };
            this->changed.notify_all();
        }
        response.set_content(isCurrent ? "true" : "false", "application/json");
        // The answer is lost after the change took effect.
        if (this->fault == "lose-answers")
            response.status = StatusFailed;
    }

    void list(const httplib::Request& request, httplib::Response& response)
    {
        ++this->reads;
        if (!this->admit(response))
            return;
        const std::lock_guard lock(this->mutex);
        const auto found = this->lists.find(request.matches[1]);
        response.set_header(IndexHeader, std::to_string(found == this->lists.end() ? 0 : found->second.index));
        response.set_content(found == this->lists.end() ? "[]" : found->second.value, "application/json");
    }

    void setList(const httplib::Request& request)
    {
        const std::lock_guard lock(this->mutex);
        this->lists[request.matches[1]] = { .value = request.body, .index = ++this->lastIndex };
    }

    void setFault(const std::string& name)
    {
        const std::lock_guard lock(this->mutex);
        this->fault = name == "none" ? "" : name;
        this->changed.notify_all();
    }

    void showCalls(httplib::Response& response)
    {
        const nlohmann::json calls{ { "reads", this->reads.load() }, { "writes", this->writes.load() } };
        response.set_content(calls.dump(), "application/json");
    }

    httplib::Server server;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Entry> entries;
    std::map<std::string, Entry> lists;
    std::uint64_t lastIndex = 0;
    std::string fault;
    std::atomic<std::uint64_t> reads{ 0 };
    std::atomic<std::uint64_t> writes{ 0 };
};

}

int main(int argc, char** argv)
{
    CLI::App program("Stand-in for the platform's service");
    int port = 0;
    program.add_option("--port", port, "Port on 127.0.0.1")->required();
    CLI11_PARSE(program, argc, argv);
    PlatformStandIn standIn;
    return standIn.listen("127.0.0.1", port) ? 0 : 1;
}
