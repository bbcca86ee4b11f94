// Stand-in for a backend server: slots, a queue, shedding, load reports, a
// journal of runs, and control paths for faults.

#include "Tests/StandIns/SpokenWords.h"

#include <CLI/CLI.hpp>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <fstream>
#include <httplib.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace {

constexpr int StatusMisdirected = 421;
constexpr int StatusUnavailable = 503;
constexpr std::size_t ThreadCount = 300;
constexpr std::size_t EndlessKeepAlive = 1000000000;
constexpr const char* RequestIdHeader = "Burlreach-Request-Id";
/** The pause for which the fault "ask-pause" asks: longer than requests are in transit, and too long to wait for. */
constexpr double PauseSeconds = 1.5;
constexpr double NamedLimit = 2; // requests per second

struct Options {
    std::string name;
    int port = 0;
    int slots = 3;
    int queue = 100;
    double serviceMilliseconds = 2;
    std::string journalPath; // empty: keeps the journal in memory only
    std::string arrivalsPath; // empty: arrivals are not recorded
};

class BackendServerStandIn {
public:
    explicit BackendServerStandIn(Options givenOptions)
        : options(std::move(givenOptions))
    {
        if (!this->options.journalPath.empty())
            this->journalFile.open(this->options.journalPath, std::ios::app);
        if (!this->options.arrivalsPath.empty())
            this->arrivalsFile.open(this->options.arrivalsPath, std::ios::app);
        this->server.new_task_queue = [] { return new httplib::ThreadPool(ThreadCount); };
        this->server.set_keep_alive_max_count(EndlessKeepAlive);
        this->server.set_keep_alive_timeout(60);
        this->server.set_tcp_nodelay(true);
        this->server.Get("/burlreach/load", [this](const auto&, auto& response) { this->addLoad(response); });
        this->server.Get("/control/journal", [this](const auto&, auto& response) { this->showJournal(response); });
        this->server.Put(
            R"(/control/fault/(.+))", [this](const auto& request, auto&) { this->setFault(request.matches[1]); });
        this->server.Put("/control/new-life", [this](const auto&, auto&) { this->words.beginNewLife(); });
        this->server.Put("/control/new-life-known", [this](const auto&, auto&) { this->words.newLifeIsKnown(); });
        this->server.Get(".*", [this](const auto& request, auto& response) { this->serve(request, response); });
        this->server.Post(".*", [this](const auto& request, auto& response) { this->serve(request, response); });
        this->server.Put(".*", [this](const auto& request, auto& response) { this->serve(request, response); });
    }

    bool listen() { return this->server.listen("127.0.0.1", this->options.port); }

private:
    void addLoad(httplib::Response& response)
    {
        const std::lock_guard lock(this->mutex);
        const std::string percent = this->fault == "slow" ? "1000" : "100";
        response.set_header("Burlreach-Load",
            std::to_string(this->running) + "," + std::to_string(this->waiting) + ","
                + std::to_string(this->options.slots) + "," + percent);
        if (this->fault == "leaving")
            response.set_header("Burlreach-Leaving", "1");
        if (this->fault == "name-limit")
            response.set_header("Burlreach-Limit", std::to_string(NamedLimit));
    }

    bool enter()
    {
        std::unique_lock lock(this->mutex);
        if (this->waiting >= this->options.queue || this->fault == "shed")
            return false;
        ++this->waiting;
        this->changed.wait(lock, [this] { return this->running < this->options.slots && this->fault != "frozen"; });
        --this->waiting;
        ++this->running;
        return true;
    }

    void leave()
    {
        const std::lock_guard lock(this->mutex);
        --this->running;
        this->changed.notify_all();
    }

    void work(const httplib::Request& request)
    {
        const double factor = this->isFault("slow") ? 10 : 1;
        const std::string asked = request.get_header_value("Work-Milliseconds");
        const double usual = asked.empty() ? this->options.serviceMilliseconds : std::stod(asked);
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(usual * factor));
    }

    bool isFault(const char* name)
    {
        const std::lock_guard lock(this->mutex);
        return this->fault == name;
    }

    void serve(const httplib::Request& request, httplib::Response& response)
    {
        const std::string requestId = request.get_header_value(RequestIdHeader);
        if (this->arrivalsFile.is_open() && !requestId.empty())
            this->note(this->arrivalsFile, "received", requestId);
        const std::string meant = request.get_header_value("Burlreach-Backend-Server");
        if (!meant.empty() && meant.find("/" + this->options.name + "@") == std::string::npos) {
            response.status = StatusMisdirected;
            return;
        }
        const std::string instance = request.get_header_value("Entry");
        const std::string word = this->words.against(instance);
        if (!word.empty())
            this->note(this->journalFile, ("against " + word).c_str(), instance);
        if (this->isFault("leaving"))
            this->words.saidLeaving(instance);
        if (this->isFault("name-limit"))
            this->words.namedLimit(instance, NamedLimit);
        else
            this->words.namedNoLimit();
        if (this->isFault("ask-pause")) {
            this->words.askedPause(instance, PauseSeconds);
            response.set_header("Retry-After", std::to_string(PauseSeconds));
        }
        if (this->isFault("ask-pause") || !this->enter()) {
            response.status = StatusUnavailable;
            response.set_header("Burlreach-Not-Run", "1");
            if (!requestId.empty())
                response.set_header(RequestIdHeader, requestId);
            this->addLoad(response);
            return;
        }
        if (request.method != "GET" && !requestId.empty()) {
            const std::lock_guard lock(this->mutex);
            ++this->journal[requestId];
            // On disk, so that a later life of this server still knows what ran.
            if (this->journalFile.is_open())
                this->journalFile << requestId << '\n' << std::flush;
        }
        const bool crashes = request.has_header("Crash");
        if (crashes)
            this->note(this->journalFile, "arrived", requestId);
        this->work(request);
        if (crashes) {
            this->note(this->journalFile, "crashed", requestId);
            std::raise(SIGKILL);
        }
        this->leave();
        this->addLoad(response);
        if (this->isFault("fail")) {
            response.status = StatusUnavailable;
            return;
        }
        if (!requestId.empty())
            response.set_header(RequestIdHeader, requestId);
        response.set_header("Backend-Server", this->options.name);
        const std::string echo = request.get_header_value("Echo");
        const std::string body
            = "{\"echo\":\"" + echo + "\",\"body_bytes\":" + std::to_string(request.body.size()) + "}\n";
        if (!this->isFault("cut"))
            return response.set_content(body, "application/json");
        // Ends the answer in the middle of the body.
        response.set_content_provider(
            body.size(), "application/json", [body](std::size_t offset, std::size_t, httplib::DataSink& sink) {
                return offset == 0 && sink.write(body.data(), body.size() / 2);
            });
    }

    /** Appends a line with the system time, by which lines of later lives and other servers can be compared. */
    void note(std::ofstream& file, const char* what, const std::string& requestId)
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        const std::lock_guard lock(this->mutex);
        file << what << ' ' << requestId << ' '
             << std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count() << '\n'
             << std::flush;
    }

    void showJournal(httplib::Response& response)
    {
        const std::lock_guard lock(this->mutex);
        response.set_content(nlohmann::json(this->journal).dump(), "application/json");
    }

    void setFault(const std::string& name)
    {
        const std::lock_guard lock(this->mutex);
        this->fault = name == "none" ? "" : name;
        this->changed.notify_all();
    }

    Options options;
    httplib::Server server;
    std::mutex mutex;
    std::condition_variable changed;
    int running = 0;
    int waiting = 0;
    std::string fault;
    burlreach::SpokenWords words;
    std::map<std::string, int> journal;
    std::ofstream journalFile;
    std::ofstream arrivalsFile;
};

}

int main(int argc, char** argv)
{
    CLI::App program("Stand-in for a backend server");
    Options options;
    program.add_option("--name", options.name, "Name sent in answers")->required();
    program.add_option("--port", options.port, "Port on 127.0.0.1")->required();
    program.add_option("--slots", options.slots, "Requests processed at once");
    program.add_option("--queue", options.queue, "Requests that may wait; more are refused");
    program.add_option("--service-milliseconds", options.serviceMilliseconds, "Processing time of one request");
    program.add_option("--journal", options.journalPath, "File to which the ids of processed requests are appended");
    program.add_option(
        "--arrivals", options.arrivalsPath, "File to which the id and time of each received request are appended");
    CLI11_PARSE(program, argc, argv);
    BackendServerStandIn standIn(options);
    return standIn.listen() ? 0 : 1;
}
