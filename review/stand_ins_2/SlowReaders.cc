// The case of callers that read large answers steadily but slowly: see the claim beside the script that starts this.

#include "BackendServer.h"
#include "Case.h"
#include "Instance.h"
#include "PlatformStore.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <memory>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using namespace review;
using std::chrono::milliseconds;

constexpr const char* Host = "ledger.example";
constexpr const char* Configuration
    = R"({"version":"00000001","routes":{"r-ledger":{"host":"ledger.example","path_prefix":"/ledger/","type":"safe",)"
      R"("timeout":"8000ms","target_latency":"1000ms","priority":1,"service":"ledger","max_attempts":2}},)"
      R"("services":{"ledger":{"health_check_path":"/health","max_connections":260,"protocol":"h1","tls":false}},)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms",)"
      R"("idle_timeout":"15000ms"}})";
constexpr int Deadline = 8000;
constexpr std::size_t AnswerBytes = 25165824; // 24 MiB
constexpr double SlowBytesPerSecond = 1048576;
constexpr double FastBytesPerSecond = 4194304;
constexpr std::size_t Callers = 5;
constexpr std::size_t MostCut = 3; // that the rule allows
constexpr milliseconds BetweenCallers{ 500 };

/** How much of an answer a caller got. */
struct Reading {
    std::size_t bytes = 0; // head and body
    double longestPause = 0; // in seconds, between two reads that brought something
    double took = 0; // in seconds
};

double secondsSince(std::chrono::steady_clock::time_point time)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - time).count();
}

/** Reads what comes at this rate, until the whole answer is there or the connection ends. */
Reading readAt(int socket, double bytesPerSecond)
{
    const auto began = std::chrono::steady_clock::now();
    auto last = began;
    Reading reading;
    std::array<char, 65536> chunk{};
    while (reading.bytes < AnswerBytes) {
        const ssize_t size = recv(socket, chunk.data(), chunk.size(), 0);
        if (size <= 0)
            break;
        reading.bytes += static_cast<std::size_t>(size);
        reading.longestPause = std::max(reading.longestPause, secondsSince(last));
        last = std::chrono::steady_clock::now();
        const std::chrono::duration<double> due(static_cast<double>(reading.bytes) / bytesPerSecond);
        std::this_thread::sleep_until(began + std::chrono::duration_cast<std::chrono::steady_clock::duration>(due));
    }
    reading.took = secondsSince(began);
    return reading;
}

}

int main(int argumentCount, char** arguments)
{
    Case thisCase(argumentCount, arguments);
    const std::string body(AnswerBytes, 'b');
    PlatformStore store;
    std::vector<std::unique_ptr<BackendServer>> servers;
    constexpr std::size_t serverCount = 3;
    for (std::size_t number = 0; number < serverCount; ++number) {
        const std::string id = "i-000" + std::to_string(number + 1);
        servers.push_back(std::make_unique<BackendServer>("127.0.0.31",
            ServerDescription{ .id = id, .service = "ledger", .zone = "hall-a" },
            [&thisCase, &servers, &body, number, id](int connection, const Message& request) {
                const bool isLarge = request.word(1) == "/ledger/export";
                std::string line = "server " + id;
                line += " runs " + request.field("request-id");
                line += isLarge ? ", 24 MiB" : ", a short answer";
                thisCase.record(line);
                return sendAll(connection, servers[number]->answerTo(request, isLarge ? body : "short"));
            }));
        store.put("servers/" + id, servers.back()->entry());
    }
    store.put("op/config", Configuration);
    Instance instance("front-a-1", "127.0.0.21", "hall-a");
    instance.start(thisCase.folder(), store.address(), { instance.peers() });
    constexpr milliseconds startTime{ 15000 };
    if (!instance.waitUntilReady(startTime)) {
        instance.kill();
        thisCase.end(Verdict::CouldNotRun, "the instance is not ready");
    }
    std::atomic<std::size_t> cutOff{ 0 };
    std::atomic<std::size_t> unanswered{ 0 };
    std::vector<std::thread> threads;
    threads.reserve(Callers);
    for (std::size_t number = 0; number < Callers; ++number) {
        threads.emplace_back([&thisCase, &instance, &cutOff, &unanswered] {
            Caller caller(thisCase, instance.callers());
            caller.send("GET", Host, "/ledger/short", "", Deadline);
            if (!caller.answer()) {
                ++unanswered;
                return;
            }
            const std::string id = caller.send("GET", Host, "/ledger/export", "", Deadline);
            const Reading reading
                = readAt(caller.handle(), thisCase.hasTrouble() ? SlowBytesPerSecond : FastBytesPerSecond);
            const bool isWhole = reading.bytes >= AnswerBytes;
            cutOff += isWhole ? 0 : 1;
            std::string line = "caller of " + id + " read " + std::to_string(reading.bytes);
            line += " bytes in " + std::to_string(reading.took) + " s, longest pause ";
            line += std::to_string(reading.longestPause);
            line += isWhole ? " s: the whole answer" : " s, then the connection ended";
            thisCase.record(line);
        });
        std::this_thread::sleep_for(BetweenCallers);
    }
    for (std::thread& thread : threads)
        thread.join();
    instance.kill();
    if (unanswered > 0)
        thisCase.end(Verdict::CouldNotRun, "a short answer did not come");
    if (cutOff > MostCut)
        thisCase.end(Verdict::Broken,
            "LOST: " + std::to_string(cutOff) + " requests from kept connections were passed on to sound servers and "
                + "their connections closed in the middle of the answer");
    thisCase.end(Verdict::Held, std::to_string(cutOff) + " answers were cut off");
}
