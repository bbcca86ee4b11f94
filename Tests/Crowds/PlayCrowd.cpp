#include "Tests/Crowds/Crowd.h"
#include "Tests/Crowds/CrowdCase.h"
#include "Tests/Crowds/CrowdInstance.h"
#include "Tests/Crowds/PlatformStoreStandIn.h"
#include "Tests/Crowds/Promise.h"
#include "Tests/Crowds/SinkServer.h"
#include "Tests/Crowds/WaitFor.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <mutex>
#include <thread>

namespace burlreach {

namespace {

constexpr auto StartPatience = std::chrono::seconds(20);
constexpr auto ServedPatience = std::chrono::seconds(60);
constexpr std::size_t FillBytes = 65536;

std::string configuration(std::size_t maxBodyBytes)
{
    return R"({"version":"00000001",
    "routes":{"r":{"host":"x.example","path_prefix":"/a/","type":"safe","timeout":"30000ms","target_latency":"1500ms",
        "priority":0,"service":"s","max_attempts":2},
        "u":{"host":"x.example","path_prefix":"/once/","type":"unsafe","timeout":"30000ms","target_latency":"1500ms",
        "priority":0,"service":"s","max_attempts":2}},
    "services":{"s":{"health_check_path":"/health","max_connections":260}},
    "limits":{"max_header_bytes":16384,"max_body_bytes":)"
        + std::to_string(maxBodyBytes) + R"(,"header_timeout":"10000ms","idle_timeout":"300000ms"}})";
}

/** Looks again and again at what a process holds, and keeps the most. */
class LoadWatch {
public:
    LoadWatch(const CrowdInstance& givenInstance, NetworkAddress givenServer)
        : instance(&givenInstance)
        , server(std::move(givenServer))
        , thread([this] { this->run(); })
    {
    }
    ~LoadWatch()
    {
        this->isOver = true;
        this->thread.join();
    }
    LoadWatch(const LoadWatch&) = delete;
    LoadWatch& operator=(const LoadWatch&) = delete;

    ProcessLoad most() const
    {
        const std::lock_guard lock(this->mutex);
        return this->highest;
    }

private:
    void run()
    {
        constexpr std::chrono::milliseconds interval{ 5 };
        while (!this->isOver) {
            const ProcessLoad now = this->instance->load(this->server);
            {
                const std::lock_guard lock(this->mutex);
                this->highest.memoryBytes = std::max(this->highest.memoryBytes, now.memoryBytes);
                this->highest.descriptors = std::max(this->highest.descriptors, now.descriptors);
            }
            std::this_thread::sleep_for(interval);
        }
    }

    const CrowdInstance* instance;
    NetworkAddress server;
    std::atomic<bool> isOver{ false };
    mutable std::mutex mutex;
    ProcessLoad highest;
    std::thread thread;
};

std::shared_ptr<const std::string> shared(std::string text)
{
    return std::make_shared<const std::string>(std::move(text));
}

std::string headOf(const CrowdCase& item, const std::string& id)
{
    const char* method = item.framing == CrowdFraming::NoBody ? "GET" : "POST";
    return std::string(method) + (item.mayRepeat ? " /a/b" : " /once/b")
        + " HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 30000\r\nRequest-Id: " + id + "\r\n";
}

CrowdBytes all(std::string text)
{
    const std::size_t size = text.size();
    return { .text = shared(std::move(text)), .size = size };
}

/** The bytes of a request; the texts that are repeated are made once for all callers. */
class ScriptWriter {
public:
    explicit ScriptWriter(const CrowdCase& givenItem)
        : item(&givenItem)
        , fill(shared(std::string(FillBytes, 'b')))
    {
        if (!this->item->chunkBytes)
            return;
        constexpr int hexadecimal = 16;
        std::string digits;
        for (std::size_t rest = this->item->chunkBytes; rest; rest /= hexadecimal)
            digits.insert(digits.begin(), "0123456789abcdef"[rest % hexadecimal]);
        std::string chunk = digits + "\r\n" + std::string(this->item->chunkBytes, 'b') + "\r\n";
        this->chunkWireBytes = chunk.size();
        std::string several = chunk;
        while (several.size() < FillBytes)
            several += chunk;
        this->chunks = shared(std::move(several));
    }

    CrowdScript script(std::size_t caller) const
    {
        CrowdScript script;
        for (std::size_t number = 0; number < this->item->requestsEach; ++number) {
            const std::string id = "c" + std::to_string(caller) + "-" + std::to_string(number);
            this->addRequest(script, id);
        }
        return script;
    }

private:
    void addRequest(CrowdScript& script, const std::string& id) const
    {
        const std::string head = headOf(*this->item, id);
        script.ids.push_back(id);
        switch (this->item->framing) {
        case CrowdFraming::Silence:
            return;
        case CrowdFraming::HalfHead:
            script.parts.push_back(all(head));
            return;
        case CrowdFraming::NoBody:
            script.parts.push_back(all(head + "\r\n"));
            return;
        case CrowdFraming::Length:
            this->addBody(script, head);
            return;
        case CrowdFraming::Chunks:
            this->addChunks(script, head);
            return;
        }
    }

    void addBody(CrowdScript& script, const std::string& head) const
    {
        const std::size_t announced = this->item->announcedBytes ? this->item->announcedBytes : this->item->bodyBytes;
        script.parts.push_back(all(head + "Content-Length: " + std::to_string(announced) + "\r\n\r\n"));
        script.parts.push_back(
            { .text = this->fill, .size = this->item->bodyBytes - (this->item->isUnfinished ? 1 : 0) });
    }

    void addChunks(CrowdScript& script, const std::string& head) const
    {
        script.parts.push_back(all(head + "Transfer-Encoding: chunked\r\n\r\n"));
        const std::size_t count = this->item->bodyBytes / this->item->chunkBytes;
        script.parts.push_back({ .text = this->chunks, .size = count * this->chunkWireBytes });
        if (!this->item->isUnfinished)
            script.parts.push_back(all("0\r\n\r\n"));
    }

    const CrowdCase* item;
    std::shared_ptr<const std::string> fill;
    std::shared_ptr<const std::string> chunks;
    std::size_t chunkWireBytes = 0;
};

const NetworkAddress& addressOf(const CrowdInstance& instance, CrowdPort port)
{
    switch (port) {
    case CrowdPort::Operators:
        return instance.operators();
    case CrowdPort::Peers:
        return instance.peers();
    case CrowdPort::Relay:
        return instance.relay();
    case CrowdPort::Readiness:
        return instance.readiness();
    case CrowdPort::Callers:
        break;
    }
    return instance.callers();
}

/** Sends a small run-once request, again when it is told that it has not run; returns the last answer. */
CrowdAnswer callAsOrdinaryCaller(const NetworkAddress& address)
{
    constexpr int tries = 10;
    constexpr double longestPause = 2;
    const std::string body(4000, 'o');
    CrowdAnswer answer;
    for (int number = 0; number < tries; ++number) {
        answer = callOnce(address,
            "POST /once/ordinary HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 8000\r\nRequest-Id: ordinary-"
                + std::to_string(number) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        constexpr unsigned served = 200;
        if (answer.status == served)
            break;
        const double asked = std::strtod(answer.retryAfter.c_str(), nullptr);
        std::this_thread::sleep_for(std::chrono::duration<double>(std::clamp(asked, 0.1, longestPause)));
    }
    return answer;
}

void judgeAnswers(const CrowdCase& item, const Crowd& crowd, const SinkServer& server, CrowdResult& result)
{
    constexpr unsigned ok = 200;
    std::size_t served = 0;
    std::size_t refused = 0;
    for (const CrowdAnswer& answer : crowd.answers()) {
        served += answer.status == ok ? 1 : 0;
        refused += answer.status == ok ? 0 : 1;
        if (isPromise(answer.status) && !answer.id.empty() && server.runs(answer.id))
            result.broken.push_back(answer.id + " was answered " + std::to_string(answer.status) + " and has run");
    }
    for (const std::string& id : crowd.ids()) {
        if (!item.mayRepeat && server.runs(id) > 1)
            result.broken.push_back(id + " ran more than once");
    }
    if (item.answersUploadsEarly && served)
        result.broken.push_back(std::to_string(served) + " parts of answers passed for whole ones");
    if (item.mustBeServed && (served != item.callers || crowd.receivedBytes() < item.callers * item.answerBytes))
        result.broken.push_back("not all callers got the server's whole answer");
    result.seen += ", " + std::to_string(served) + " served and " + std::to_string(refused) + " refused of "
        + std::to_string(crowd.size());
}

}

CrowdResult playCrowd(const CrowdCase& item, const CrowdPlayOptions& options)
{
    CrowdResult result;
    SinkServer server({ .workTime = item.workTime,
        .answerBytes = item.answerBytes,
        .answersUploadsEarly = item.answersUploadsEarly });
    PlatformStoreStandIn store;
    store.put("servers/i-sink", server.entry("s"));
    store.put("op/config", configuration(item.maxBodyBytes));
    CrowdInstance instance({ .program = options.program,
        .folder = options.folder,
        .store = store.address(),
        .sessions = item.sessions,
        .descriptors = item.descriptors });
    instance.start();
    constexpr unsigned ok = 200;
    if (!waitFor(StartPatience, [&] { return instance.isReady(); })
        || callAsOrdinaryCaller(instance.callers()).status != ok) {
        result.broken.emplace_back("the instance did not serve before the crowd came");
        return result;
    }
    LoadWatch watch(instance, server.address());
    Crowd crowd({ .address = addressOf(instance, item.port),
        .pieceBytes = item.pieceBytes,
        .startInterval = item.startInterval,
        .readsAnswers = item.readsAnswers });
    const ScriptWriter writer(item);
    for (std::size_t caller = 0; caller < item.callers; ++caller)
        crowd.add(writer.script(caller));
    const auto began = std::chrono::steady_clock::now();
    crowd.run([&] {
        return !item.mustBeServed || crowd.receivedBytes() >= item.callers * item.answerBytes
            || std::chrono::steady_clock::now() - began > ServedPatience;
    });
    const CrowdAnswer ordinary = callAsOrdinaryCaller(instance.callers());
    // What the crowd was answered meanwhile.
    crowd.run([] { return true; });
    const ProcessLoad most = watch.most();
    const std::size_t peak = std::max(most.memoryBytes, instance.peakMemory());
    constexpr std::size_t megabyte = 1000000;
    result.seen = std::to_string(peak / megabyte) + " MB (resident " + std::to_string(instance.peakMemory() / megabyte)
        + "), " + std::to_string(most.descriptors) + " descriptors";
    if (!instance.isRunning())
        result.broken.emplace_back("the process has ended");
    if (peak > MaxProcessBytes)
        result.broken.push_back("memory " + std::to_string(peak) + " of " + std::to_string(MaxProcessBytes));
    const std::size_t mostDescriptors = item.descriptors ? item.descriptors : MaxDescriptors;
    if (most.descriptors > mostDescriptors)
        result.broken.push_back(
            "descriptors " + std::to_string(most.descriptors) + " of " + std::to_string(mostDescriptors));
    if (ordinary.status != ok)
        result.broken.push_back("an ordinary request was answered " + std::to_string(ordinary.status));
    judgeAnswers(item, crowd, server, result);
    return result;
}

}
