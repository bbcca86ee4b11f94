// The case of a relay that is killed while it passes on an answer that has no length: see the claim beside the script
// that starts this.

#include "BackendServer.h"
#include "Case.h"
#include "Instance.h"
#include "PlatformStore.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using namespace review;
using std::chrono::milliseconds;

constexpr const char* Host = "offers.example";
constexpr const char* Configuration
    = R"({"version":"00000001","routes":{"r-offers":{"host":"offers.example","path_prefix":"/offers/","type":"safe",)"
      R"("timeout":"5000ms","target_latency":"1000ms","priority":1,"service":"offers","max_attempts":2}},)"
      R"("services":{"offers":{"health_check_path":"/health","max_connections":260,"protocol":"h1","tls":false}},)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms",)"
      R"("idle_timeout":"15000ms"}})";
constexpr int Deadline = 5000;
constexpr std::size_t HalfBytes = 4500; // the whole body has 9,000 bytes
constexpr milliseconds BetweenHalves{ 1000 };

using Instances = std::vector<std::unique_ptr<Instance>>;

/** Cuts the path from one instance to the server, and leaves those of the others. */
class CutPath {
public:
    CutPath(Case& givenCase, BackendServer& givenServer, const Instances& all)
        : thisCase(&givenCase)
        , server(&givenServer)
        , cutInstance(all.front().get())
        , instances(&all)
    {
    }

    /**
     * The connections of one process to a loopback address cannot be cut without those of the others. So the server's
     * port refuses whenever the first instance tries, and takes connections whenever another one does; each is held for
     * a moment while it is the other's turn. Returns false if no other instance tried in time.
     */
    bool cut(Caller& caller)
    {
        this->thisCase->record("the path from " + this->cutInstance->name() + " to the server is cut: refused");
        this->server->closePort();
        this->server->endConnections();
        this->signalOthers(SIGSTOP);
        caller.send("GET", Host, "/offers/cut", "", Deadline);
        const auto answer = caller.answer();
        this->thisCase->record("caller gets " + (answer ? answer->firstLine : std::string("no answer")));
        this->cutInstance->signal(SIGSTOP);
        const unsigned before = this->server->taken();
        this->server->openPort();
        this->signalOthers(SIGCONT);
        constexpr milliseconds longest{ 300 };
        const bool hasTried = waitFor(longest, [&] { return this->server->taken() > before; });
        this->server->closePort();
        this->cutInstance->signal(SIGCONT);
        this->thisCase->record(
            hasTried ? "another instance reaches the server for it" : "no other instance was asked in time");
        // It tries once more itself, and is refused.
        constexpr milliseconds ownTry{ 100 };
        std::this_thread::sleep_for(ownTry);
        this->server->openPort();
        return hasTried;
    }

private:
    void signalOthers(int number) const
    {
        for (const auto& instance : *this->instances) {
            if (instance.get() != this->cutInstance)
                instance->signal(number);
        }
    }

    Case* thisCase;
    BackendServer* server;
    const Instance* cutInstance;
    const Instances* instances;
};

/** The answer without a length, and what became of it. */
struct LongAnswer {
    Address comesFrom; // the other end of its connection; set before the first half is sent
    std::atomic<bool> isHalfSent{ false };
    std::atomic<bool> isWhollySent{ false };
    std::atomic<bool> isCutOff{ false };
};

bool isClosed(int connection)
{
    char byte = 0;
    return recv(connection, &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
}

}

int main(int argumentCount, char** arguments)
{
    Case thisCase(argumentCount, arguments);
    const std::string body(HalfBytes * 2, 'b');
    LongAnswer sent;
    BackendServer* known = nullptr;
    BackendServer server("127.0.0.31", { .id = "i-0001", .service = "offers", .zone = "hall-a" },
        [&](int connection, const Message& request) {
            thisCase.record("server runs " + request.field("request-id") + " " + request.word(1));
            if (request.word(1) != "/offers/long")
                return sendAll(connection, known->answerTo(request, "short"));
            // No length: the answer ends with its connection.
            sent.comesFrom = peerOf(connection);
            sendAll(connection, known->headOf(request) + "Connection: close\r\n\r\n" + body.substr(0, HalfBytes));
            thisCase.record("server has sent the first half of the body, " + std::to_string(HalfBytes) + " bytes");
            sent.isHalfSent = true;
            std::this_thread::sleep_for(BetweenHalves);
            sent.isCutOff = isClosed(connection);
            sent.isWhollySent = !sent.isCutOff && sendAll(connection, body.substr(HalfBytes));
            thisCase.record(sent.isWhollySent ? "server has sent the second half"
                                              : "the server's connection has ended before the second half");
            return false;
        });
    known = &server;
    PlatformStore store;
    store.put("servers/" + server.id(), server.entry());
    store.put("op/config", Configuration);
    Instances instances;
    std::vector<Address> peers;
    for (const char* zone : { "hall-a", "hall-b", "hall-c", "hall-d" }) {
        const std::string number = std::to_string(instances.size() + 1);
        instances.push_back(std::make_unique<Instance>("front-" + number, "127.0.0.2" + number, zone));
        peers.push_back(instances.back()->peers());
    }
    const auto end = [&](Verdict verdict, const std::string& why) {
        for (const auto& instance : instances)
            instance->kill();
        thisCase.end(verdict, why);
    };
    for (const auto& instance : instances)
        instance->start(thisCase.folder(), store.address(), { peers[0], peers[1], peers[2] });
    constexpr milliseconds startTime{ 15000 };
    for (const auto& instance : instances) {
        if (!instance->waitUntilReady(startTime))
            end(Verdict::CouldNotRun, instance->name() + " is not ready");
    }
    // They get to know each other, and all have reached the server.
    constexpr milliseconds acquaintance{ 4000 };
    std::this_thread::sleep_for(acquaintance);
    for (const auto& instance : instances) {
        Caller caller(thisCase, instance->callers());
        caller.send("GET", Host, "/offers/short", "", Deadline);
        if (!caller.answer())
            end(Verdict::CouldNotRun, "no answer before the disruption");
    }

    Caller caller(thisCase, instances.front()->callers());
    CutPath path(thisCase, server, instances);
    std::string id;
    Instance* relay = nullptr;
    // The path may be found again before the request is sent; then it is cut once more.
    constexpr int tries = 5;
    for (int count = 0; count < tries; ++count) {
        if (thisCase.hasTrouble() && !path.cut(caller))
            continue;
        sent.isHalfSent = false;
        sent.isWhollySent = false;
        sent.isCutOff = false;
        id = caller.send("GET", Host, "/offers/long", "", Deadline);
        if (!waitFor(milliseconds{ Deadline }, [&] { return sent.isHalfSent.load(); }))
            end(Verdict::CouldNotRun, "the request did not reach the server");
        const auto found = std::find_if(instances.begin() + 1, instances.end(),
            [&](const auto& instance) { return instance->hasOpened(sent.comesFrom); });
        relay = found == instances.end() ? nullptr : found->get();
        if (!thisCase.hasTrouble() || relay)
            break;
        thisCase.record("the request went straight to the server");
        caller.answer();
    }
    constexpr milliseconds onTheWay{ 200 };
    std::this_thread::sleep_for(onTheWay);
    if (thisCase.hasTrouble()) {
        if (!relay)
            end(Verdict::CouldNotRun, "no request went through another instance");
        thisCase.record("SIGKILL for " + relay->name() + ", through which the request went");
        relay->kill();
    }
    const auto answer = caller.answer();
    thisCase.record("caller gets for " + id + ": "
        + (answer ? answer->firstLine + ", a complete message with a body of " + std::to_string(answer->body.size())
                    + " bytes, signature " + answer->field("server-signature")
                  : std::string("no whole answer")));
    waitFor(BetweenHalves * 2, [&] { return sent.isWhollySent || sent.isCutOff; });
    if (thisCase.hasTrouble() && !sent.isCutOff)
        end(Verdict::CouldNotRun, "the server's connection has outlived the killed instance");
    constexpr int successes = 2;
    constexpr int perClass = 100;
    const bool isSuccess = answer && answer->status() / perClass == successes;
    if (isSuccess && answer->body != body)
        end(Verdict::Broken,
            "MIXED: a success whose body is not the server's whole body (" + std::to_string(answer->body.size())
                + " of " + std::to_string(body.size()) + " bytes)");
    end(Verdict::Held, isSuccess ? "the whole body arrived" : "no success was answered");
}
