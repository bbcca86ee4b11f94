// Stops an instance, in a process of its own, while callers send requests until its last moment, some of them slowly.
//
// Guards against requests that are taken late in a planned stop, passed on to a server, and cut with no answer when the
// process ends.

#include "Tests/Crowds/Crowd.h"
#include "Tests/Crowds/CrowdInstance.h"
#include "Tests/Crowds/PlatformStoreStandIn.h"
#include "Tests/Crowds/SinkServer.h"
#include "Tests/Crowds/WaitFor.h"
#include "Tests/Stops/LateCaller.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace burlreach;
using std::chrono::milliseconds;

namespace {

/** The grace period and the lead of the users' first deployment. */
constexpr milliseconds StopBound{ 6000 };
constexpr milliseconds StopLead{ 2500 };
/** The longest time in which a connection may end behind a request that was not passed on. */
constexpr milliseconds LossSlack{ 200 };
constexpr milliseconds Patience{ 20000 };
constexpr unsigned Ok = 200;
constexpr unsigned Unavailable = 503;
constexpr std::size_t AnswerBytes = 5000;

constexpr const char* Configuration = R"({"version":"00000001",
    "routes":{"r":{"host":"x.example","path_prefix":"/a/","type":"safe","timeout":"5000ms","target_latency":"3000ms",
        "priority":0,"service":"s","max_attempts":2},
        "u":{"host":"x.example","path_prefix":"/once/","type":"unsafe","timeout":"5000ms","target_latency":"3000ms",
        "priority":0,"service":"s","max_attempts":2}},
    "services":{"s":{"health_check_path":"/health","max_connections":260}}})";

struct Row {
    const char* name = "";
    milliseconds workTime{ 0 }; // of the server
    milliseconds sending{ 0 }; // from the first byte of a request to its last
};

/** Why a request was lost; empty if it was not. */
std::string lossOf(const LateRequest& request, const SinkServer& server)
{
    const std::size_t runs = server.runs(request.id);
    if (!request.mayRepeat && runs > 1)
        return "ran more than once";
    if (request.status == Ok)
        return request.bodyBytes == AnswerBytes ? "" : "got a part of its answer";
    if (request.status == Unavailable)
        return runs && !request.mayRepeat ? "was answered 503 and has run" : "";
    if (runs)
        return "was passed on and got status " + std::to_string(request.status);
    return request.status || request.silence <= LossSlack ? "" : "was read, and its connection ended without an answer";
}

/** Plays one row; returns what was broken. */
std::vector<std::string> play(const Row& row, const std::string& program, const std::string& folder)
{
    SinkServer server({ .workTime = row.workTime, .answerBytes = AnswerBytes });
    PlatformStoreStandIn store;
    store.put("servers/i-sink", server.entry("s"));
    store.put("op/config", Configuration);
    CrowdInstance instance({ .program = program,
        .folder = folder,
        .store = store.address(),
        .stopBound = StopBound,
        .stopLead = StopLead });
    instance.start();
    const std::string first = "GET /a/x HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 5000\r\nRequest-Id: first\r\n\r\n";
    if (!waitFor(Patience, [&] { return instance.isReady() && callOnce(instance.callers(), first).status == Ok; }))
        return { "the instance did not serve before the stop" };
    std::vector<std::unique_ptr<LateCaller>> callers;
    constexpr std::size_t callerCount = 24;
    constexpr milliseconds step{ 17 };
    for (std::size_t number = 0; number < callerCount; ++number) {
        callers.push_back(std::make_unique<LateCaller>(LateCaller::Options{
            .instance = instance.callers(), .name = "caller-" + std::to_string(number), .sending = row.sending }));
        std::this_thread::sleep_for(step);
    }
    // All callers have been served, and the usual times of the server are known.
    std::this_thread::sleep_for(row.workTime + row.sending);
    const auto stoppedAt = std::chrono::steady_clock::now();
    instance.child().expectEnd();
    instance.child().signal(SIGTERM);
    const bool hasEnded = waitFor(Patience, [&] { return !instance.isRunning(); });
    const auto took = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - stoppedAt);
    std::vector<std::string> broken;
    if (!hasEnded || took > StopBound)
        broken.push_back("the process ended " + std::to_string(took.count()) + " ms after SIGTERM");
    std::size_t all = 0;
    std::size_t served = 0;
    for (const auto& caller : callers) {
        for (const LateRequest& request : caller->finish()) {
            ++all;
            served += request.status == Ok ? 1 : 0;
            const std::string loss = lossOf(request, server);
            if (!loss.empty())
                broken.push_back(request.id + ", sent at " + std::to_string(request.sentAt.count()) + " ms, " + loss);
        }
    }
    if (!served)
        broken.emplace_back("no request was served");
    std::cout << (broken.empty() ? "passed " : "failed ") << row.name << ": " << served << " of " << all
              << " requests served, ended after " << took.count() << " ms\n";
    return broken;
}

const std::vector<Row> Rows{
    { .name = "short", .workTime = milliseconds(100) },
    { .name = "long", .workTime = milliseconds(1500) },
    { .name = "very long", .workTime = milliseconds(2800) },
    { .name = "slow callers, short", .workTime = milliseconds(100), .sending = milliseconds(1200) },
    { .name = "slow callers, long", .workTime = milliseconds(1500), .sending = milliseconds(1200) },
};

}

int main(int argc, char** argv)
{
    CLI::App app("Stops an instance while callers send requests until its last moment");
    std::string program;
    app.add_option("--program", program, "Path of burlreach")->required();
    CLI11_PARSE(app, argc, argv);
    const auto folder = std::filesystem::temp_directory_path() / ("stops-" + std::to_string(getpid()));
    std::size_t failed = 0;
    for (const Row& row : Rows) {
        std::filesystem::create_directories(folder);
        const std::vector<std::string> broken = play(row, program, folder);
        failed += broken.empty() ? 0 : 1;
        for (const std::string& line : broken)
            std::cout << "    " << line << '\n';
        std::filesystem::remove_all(folder);
    }
    std::cout << Rows.size() - failed << " passed, " << failed << " failed\n";
    return failed ? 1 : 0;
}
