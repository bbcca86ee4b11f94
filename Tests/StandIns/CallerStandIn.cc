// Stand-in for callers: sessions that send searches and bookings, check that
// each answer is complete and belongs to its request, and print the outcomes as
// JSON. Some sessions pipeline several searches.

#include "Tests/StandIns/PipelinedConnection.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <fstream>
#include <httplib.h>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

/** Searches that a pipelined session sends at once. */
constexpr int SentAhead = 4;

struct Options {
    std::vector<int> ports;
    std::string host = "bookings.example";
    std::string prefix = "caller";
    int sessions = 4;
    int pipelinedSessions = 0; // additional sessions that pipeline searches
    int requests = 100;
    int bookingPercent = 20;
    double pauseMilliseconds = 0;
    int seconds = 0;
    int longPercent = 0; // percentage of requests that take long
    int longMilliseconds = 0;
    int deadlineMilliseconds = 0; // 0: requests carry no deadline and searches no id
    std::string output; // path of a file; empty: standard output
};

struct Tally {
    std::map<std::string, int> outcomes;
    std::map<std::string, int> reasons;
    std::map<std::string, int> servers;
    std::vector<double> milliseconds;
    std::vector<std::string> answeredBookings;
    std::vector<std::string> notRunBookings;
    std::vector<std::string> cuts; // a description of each request that got no answer
    int reconnects = 0;
};

/** A session's connection and the answers received over it. */
struct Session {
    std::unique_ptr<httplib::Client> client;
    std::size_t turn = 0; // index into the ports, modulo their number
    int answers = 0; // answers received over this connection
    Clock::time_point lastAnswer;
};

class CallerStandIn {
public:
    explicit CallerStandIn(Options givenOptions)
        : options(std::move(givenOptions))
        , end(Clock::now() + std::chrono::seconds(this->options.seconds))
    {
    }

    Tally run()
    {
        std::vector<std::thread> threads;
        threads.reserve(static_cast<std::size_t>(this->options.sessions));
        for (int index = 0; index < this->options.sessions; ++index)
            threads.emplace_back([this, index] { this->session(index); });
        for (int index = 0; index < this->options.pipelinedSessions; ++index)
            threads.emplace_back([this, index] { this->pipelinedSession(index); });
        for (std::thread& thread : threads)
            thread.join();
        return this->tally;
    }

private:
    void session(int index)
    {
        Session session;
        session.turn = static_cast<std::size_t>(index);
        session.client = this->connect(session.turn);
        for (int count = 0; !this->isDone(count); ++count) {
            const bool isBooking = (count * 37 + index * 11) % 100 < this->options.bookingPercent;
            const std::string id = this->options.prefix + "-" + std::to_string(index) + "-" + std::to_string(count);
            this->request(session, id, isBooking);
            if (this->options.pauseMilliseconds > 0)
                std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(this->options.pauseMilliseconds));
        }
    }

    void pipelinedSession(int index)
    {
        burlreach::PipelinedConnection connection(this->options.host);
        auto turn = static_cast<std::size_t>(index);
        std::vector<std::string> unanswered;
        for (int count = 0; !this->isDone(count); ++count) {
            while (unanswered.size() < SentAhead)
                unanswered.push_back(this->options.prefix + "-ahead-" + std::to_string(index) + "-"
                    + std::to_string(count) + "-" + std::to_string(unanswered.size()));
            if (!connection.isOpen() && !connection.connect(this->portOf(turn++))) {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
                continue;
            }
            const auto answers = connection.search(unanswered);
            this->noteSearches(unanswered, answers);
            // Requests after an answer that closes the connection were not read, so they are sent again.
            const bool wasClosed = !answers.empty() && answers.back().closes;
            const auto done = wasClosed ? static_cast<std::ptrdiff_t>(answers.size()) : SentAhead;
            unanswered.erase(unanswered.begin(), unanswered.begin() + done);
            std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(this->options.pauseMilliseconds));
        }
    }

    void noteSearches(const std::vector<std::string>& ids, const std::vector<burlreach::PipelinedAnswer>& answers)
    {
        const std::lock_guard lock(this->mutex);
        for (std::size_t place = 0; place < answers.size(); ++place) {
            const burlreach::PipelinedAnswer& answer = answers[place];
            const bool isGood = answer.outcome.empty() && answer.status == 200;
            const bool isOwn = answer.body.find("\"echo\":\"" + ids[place] + "\"") != std::string::npos
                && answer.body.back() == '\n';
            std::string outcome = answer.outcome.empty() ? "status " + std::to_string(answer.status) : answer.outcome;
            if (isGood)
                outcome = isOwn ? "answered" : "not its own or not whole";
            ++this->tally.outcomes[outcome];
        }
        const bool wasClosed = !answers.empty() && answers.back().closes;
        if (answers.size() == ids.size() || wasClosed)
            return;
        ++this->tally.outcomes["cut: sent ahead"];
        this->tally.cuts.push_back(ids[answers.size()] + ", sent ahead, after " + std::to_string(answers.size())
            + " answers; at " + std::to_string(millisecondsSince({})));
    }

    int portOf(std::size_t turn) const { return this->options.ports[turn % this->options.ports.size()]; }

    bool isDone(int count) const
    {
        return this->options.seconds ? Clock::now() >= this->end : count >= this->options.requests;
    }

    std::unique_ptr<httplib::Client> connect(std::size_t turn) const
    {
        auto client = std::make_unique<httplib::Client>("127.0.0.1", this->portOf(turn));
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_read_timeout(30);
        return client;
    }

    httplib::Result send(const Session& session, const std::string& id, bool isBooking) const
    {
        httplib::Headers headers{ { "Host", this->options.host }, { "Echo", id },
            { "Entry", std::to_string(this->portOf(session.turn)) } };
        if (isBooking || this->options.deadlineMilliseconds)
            headers.emplace("Burlreach-Request-Id", id);
        if (this->options.deadlineMilliseconds)
            headers.emplace("Burlreach-Deadline-Milliseconds", std::to_string(this->options.deadlineMilliseconds));
        if (static_cast<int>(std::hash<std::string>()(id) % 100) < this->options.longPercent)
            headers.emplace("Work-Milliseconds", std::to_string(this->options.longMilliseconds));
        if (!isBooking)
            return session.client->Get("/search?from=a&to=b", headers);
        return session.client->Post("/bookings", headers, std::string(200, 'x'), "application/json");
    }

    static double millisecondsSince(Clock::time_point start)
    {
        return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
    }

    void request(Session& session, const std::string& id, bool isBooking)
    {
        auto start = Clock::now();
        const bool wasOpen = session.client->is_socket_open();
        auto result = this->send(session, id, isBooking);
        // A failed connection to an instance that has ended is not a failure of the request; another port is tried.
        for (std::size_t tries = 0;
             !result && result.error() == httplib::Error::Connection && tries < this->options.ports.size(); ++tries) {
            session.client = this->connect(++session.turn);
            session.answers = 0;
            start = Clock::now();
            result = this->send(session, id, isBooking);
            const std::lock_guard lock(this->mutex);
            ++this->tally.reconnects;
        }
        if (!result)
            this->noteCut(session, id, wasOpen, millisecondsSince(start));
        session.answers += result ? 1 : 0;
        session.lastAnswer = result ? Clock::now() : session.lastAnswer;
        this->note(result, id, isBooking, millisecondsSince(start));
    }

    void noteCut(const Session& session, const std::string& id, bool wasOpen, double took)
    {
        const std::lock_guard lock(this->mutex);
        this->tally.cuts.push_back(id + " at port " + std::to_string(this->portOf(session.turn)) + " after "
            + std::to_string(took) + " ms; " + std::to_string(session.answers) + " answers before it, the last one "
            + std::to_string(millisecondsSince(session.lastAnswer)) + " ms ago; its connection was "
            + (wasOpen ? "open" : "new") + "; at " + std::to_string(millisecondsSince({})));
    }

    void note(const httplib::Result& result, const std::string& id, bool isBooking, double took)
    {
        const std::lock_guard lock(this->mutex);
        if (!result) {
            ++this->tally.outcomes["cut: " + httplib::to_string(result.error())];
            return;
        }
        std::string outcome = result->get_header_value("Burlreach-Outcome");
        if (outcome.empty())
            outcome = result->status == 200 ? "answered" : "status " + std::to_string(result->status);
        const bool isOwn
            = result->body.find("\"echo\":\"" + id + "\"") != std::string::npos && result->body.back() == '\n';
        if (outcome == "answered" && result->status == 200 && !isOwn)
            outcome = "not its own or not whole";
        ++this->tally.outcomes[outcome];
        this->tally.milliseconds.push_back(took);
        if (result->has_header("Burlreach-Reason"))
            ++this->tally.reasons[result->get_header_value("Burlreach-Reason")];
        if (result->has_header("Backend-Server"))
            ++this->tally.servers[std::string(isBooking ? "booking " : "search ")
                + result->get_header_value("Backend-Server")];
        if (isBooking && outcome == "answered")
            this->tally.answeredBookings.push_back(id);
        if (isBooking && outcome == "not-run")
            this->tally.notRunBookings.push_back(id);
    }

    Options options;
    Clock::time_point end;
    std::mutex mutex;
    Tally tally;
};

double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

}

int main(int argc, char** argv)
{
    CLI::App program("Stand-in for callers");
    Options options;
    program.add_option("--port", options.ports, "Ports of instances on 127.0.0.1")->required();
    program.add_option("--host", options.host, "Value of the Host field");
    program.add_option("--prefix", options.prefix, "Prefix of every request id");
    program.add_option("--sessions", options.sessions, "Number of concurrent sessions");
    program.add_option(
        "--pipelined-sessions", options.pipelinedSessions, "Number of additional sessions that pipeline searches");
    program.add_option("--requests", options.requests, "Number of requests in each session");
    program.add_option("--seconds", options.seconds, "Send for this many seconds instead of a number of requests");
    program.add_option("--booking-percent", options.bookingPercent, "Percentage of bookings among the requests");
    program.add_option("--pause-milliseconds", options.pauseMilliseconds, "Pause between two requests of a session");
    program.add_option("--long-percent", options.longPercent, "Percentage of requests that take long");
    program.add_option("--long-milliseconds", options.longMilliseconds, "Processing time of these requests");
    program.add_option("--deadline-milliseconds", options.deadlineMilliseconds,
        "Deadline sent with each request; all requests then carry an id");
    program.add_option("--output", options.output, "File for the result; standard output if absent");
    CLI11_PARSE(program, argc, argv);
    Tally tally = CallerStandIn(options).run();
    const std::size_t answered = tally.milliseconds.size();
    const nlohmann::json result{
        { "outcomes", tally.outcomes },
        { "reasons", tally.reasons },
        { "servers", tally.servers },
        { "reconnects", tally.reconnects },
        { "requests", answered },
        { "p50_milliseconds", quantile(tally.milliseconds, 0.5) },
        { "p99_milliseconds", quantile(tally.milliseconds, 0.99) },
        { "answered_bookings", tally.answeredBookings },
        { "not_run_bookings", tally.notRunBookings },
        { "cuts", tally.cuts },
    };
    if (options.output.empty())
        std::cout << result.dump(1) << '\n';
    else
        std::ofstream(options.output) << result.dump(1) << '\n';
    return 0;
}
