// The case of requests with large bodies, within the limits that the configuration sets for callers: see the claim
// beside the script that starts this.

#include "BackendServer.h"
#include "Case.h"
#include "Instance.h"
#include "PlatformStore.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <thread>
#include <unistd.h>

namespace {

using namespace review;
using std::chrono::milliseconds;

constexpr const char* Host = "bookings.example";
constexpr const char* Configuration
    = R"({"version":"00000001","routes":{"r-bookings":{"host":"bookings.example","path_prefix":"/bookings/",)"
      R"("type":"unsafe","timeout":"8000ms","target_latency":"1000ms","priority":1,"service":"bookings",)"
      R"("max_attempts":2}},"services":{"bookings":{"health_check_path":"/health","max_connections":260,)"
      R"("protocol":"h1","tls":false}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
      R"("header_timeout":"3000ms","idle_timeout":"15000ms"}})";
constexpr int Deadline = 8000;
constexpr double MemoryLimit = 260; // memory_mb of a machine
constexpr std::size_t LargeBytes = 60000000; // less than max_body_bytes
constexpr std::size_t UsualBytes = 24000; // the largest body of a seat booking on the users' sheet
constexpr std::size_t Bookings = 6;
constexpr std::size_t Uploads = 3;
constexpr std::size_t MostCut = 3; // that the rule allows
constexpr milliseconds Contact{ 3000 }; // of the sites
constexpr milliseconds WorkTime{ 3000 };

/** Ends a process that uses more memory than its machine allows it, as the platform does. */
class MemoryWatch {
public:
    MemoryWatch(Case& givenCase, Instance& givenInstance)
        : thisCase(&givenCase)
        , instance(&givenInstance)
        , thread([this] { this->run(); })
    {
    }

    ~MemoryWatch()
    {
        this->isOver = true;
        this->thread.join();
    }

    MemoryWatch(const MemoryWatch&) = delete;
    MemoryWatch& operator=(const MemoryWatch&) = delete;
    MemoryWatch(MemoryWatch&&) = delete;
    MemoryWatch& operator=(MemoryWatch&&) = delete;

private:
    void run()
    {
        constexpr milliseconds interval{ 5 };
        double most = 0;
        while (!this->isOver) {
            const double now = this->instance->memory();
            most = std::max(most, now);
            if (now > MemoryLimit) {
                this->thisCase->record(this->instance->name() + " uses " + std::to_string(now)
                    + " MB, more than memory_mb: the platform kills it");
                this->instance->kill();
                return;
            }
            std::this_thread::sleep_for(interval);
        }
        this->thisCase->record("the most memory seen: " + std::to_string(most) + " MB");
    }

    Case* thisCase;
    Instance* instance;
    std::atomic<bool> isOver{ false };
    std::thread thread;
};

std::string outcomeOf(const std::optional<Message>& answer)
{
    return answer ? answer->firstLine : "no whole answer: the connection has ended";
}

}

int main(int argumentCount, char** arguments)
{
    Case thisCase(argumentCount, arguments);
    std::atomic<std::size_t> running{ 0 }; // slow bookings at the servers
    std::vector<std::unique_ptr<BackendServer>> servers;
    PlatformStore store;
    constexpr std::size_t serverCount = 3;
    for (std::size_t number = 0; number < serverCount; ++number) {
        const std::string id = "i-000" + std::to_string(number + 1);
        servers.push_back(std::make_unique<BackendServer>("127.0.0.31",
            ServerDescription{ .id = id, .service = "bookings", .zone = "hall-a" },
            [&thisCase, &running, &servers, number, id](int connection, const Message& request) {
                const std::string path = request.word(1);
                std::string line = "server " + id;
                line += " runs " + request.field("request-id");
                line += " " + path;
                line += ", " + std::to_string(request.body.size()) + " bytes";
                thisCase.record(line);
                running += path == "/bookings/slow" ? 1 : 0;
                if (path != "/bookings/first")
                    std::this_thread::sleep_for(WorkTime);
                return sendAll(connection, servers[number]->answerTo(request, "booked"));
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
    // From then on it is in touch, as the rule asks: `contact` has passed since its start.
    std::this_thread::sleep_for(Contact);

    std::vector<std::unique_ptr<Caller>> callers;
    for (std::size_t number = 0; number < Bookings; ++number) {
        callers.push_back(std::make_unique<Caller>(thisCase, instance.callers()));
        callers.back()->send("POST", Host, "/bookings/first", "a seat", Deadline);
        const auto answer = callers.back()->answer();
        if (answer)
            continue;
        instance.kill();
        thisCase.end(Verdict::CouldNotRun, "a first booking was not answered");
    }

    std::atomic<std::size_t> cutOff{ 0 };
    {
        const MemoryWatch watch(thisCase, instance);
        std::vector<std::thread> threads;
        threads.reserve(Bookings + Uploads);
        for (const auto& caller : callers) {
            threads.emplace_back([&thisCase, &cutOff, own = caller.get()] {
                const std::string id = own->send("POST", Host, "/bookings/slow", "a seat", Deadline);
                const auto answer = own->answer();
                cutOff += answer ? 0 : 1;
                thisCase.record("caller gets for " + id + ": " + outcomeOf(answer));
            });
        }
        if (!waitFor(milliseconds{ 1500 }, [&] { return running == Bookings; })) {
            instance.kill();
            thisCase.end(Verdict::CouldNotRun, "the bookings did not reach the servers");
        }
        const std::string body(thisCase.hasTrouble() ? LargeBytes : UsualBytes, 'u');
        for (std::size_t number = 0; number < Uploads; ++number) {
            threads.emplace_back([&thisCase, &instance, &body] {
                Caller caller(thisCase, instance.callers());
                const std::string id = caller.send("POST", Host, "/bookings/upload", body, Deadline);
                thisCase.record("caller gets for " + id + ": " + outcomeOf(caller.answer()));
            });
        }
        for (std::thread& thread : threads)
            thread.join();
    }
    instance.kill();
    if (cutOff > MostCut)
        thisCase.end(Verdict::Broken,
            "LOST: " + std::to_string(cutOff) + " requests from kept connections were passed on to sound servers and "
                + "their connections ended without an answer");
    thisCase.end(Verdict::Held, std::to_string(cutOff) + " requests from kept connections were cut off");
}
