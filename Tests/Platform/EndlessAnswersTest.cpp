// Guards instances against servers that send bytes without end. What was received of a line that frames a chunk had no
// limit, bodies had one of 64 MiB each, and skipped answers began all limits anew: one server took an instance to
// 589 MB, where 260 MB are allowed, or kept its processor busy until the time-outs.

#include "Program/AllocatorSettings.h"
#include "Tests/Platform/EndlessServer.h"
#include "Tests/Platform/LoopbackInstance.h"
#include "Tests/Platform/ScriptedServer.h"

#include <fstream>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr std::size_t Callers = 60;
/** What an instance of the deployments may take; here the servers, the callers and the test are in it as well. */
constexpr std::size_t MaxProcessBytes = 260000000;
/** What the largest instances take before any answer; what this test adds must leave it. */
constexpr std::size_t UsualBytes = 100000000;
/** Callers give up after 2 s, as their requests say; no answer may last until then. */
constexpr Milliseconds Patience{ 3000 };
constexpr Milliseconds LongestExchange{ 1800 };
/** A broken exchange closes its connection at once; the server's thread notices when it next runs. */
constexpr Milliseconds ClosedWithin{ 1000 };
/** If the bytes behind a whole answer come only after it was read, its connection is idle until it expires. */
constexpr Milliseconds IdleTime{ 4000 };

/** The sanitizers' allocators keep freed memory, and programs are several times slower with them. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool isInstrumented = true;
#else
constexpr bool isInstrumented = false;
#endif

const std::string Success = "HTTP/1.1 200 x\r\nServer-Signature: s\r\nRequest-Id: (id)\r\n";
const std::string Chunked = Success + "Transfer-Encoding: chunked\r\n\r\n";
const std::string WholeAnswer = Success + "Content-Length: 2\r\n\r\nok";
const std::string Zeros(1024, '0');

struct Case {
    const char* name;
    std::string first;
    std::string repeated;
    bool isAnswered = false; // the whole answer comes first
};

const std::vector<Case> Cases{
    { "a status line", "HTTP/1.1 200 ", "x" },
    { "a header field", Success + "X: ", Zeros },
    { "header fields", Success, "X: y\r\n" },
    { "a chunk's size", Chunked, Zeros },
    { "a chunk's extension", Chunked + "5;x=", Zeros },
    { "chunks", Chunked, "400\r\n" + Zeros + "\r\n" },
    { "small chunks with extensions", Chunked, "1;" + Zeros + "\r\nx\r\n" },
    { "a trailer", Chunked + "0\r\nX: ", Zeros },
    { "a body without a length", Success + "\r\n", Zeros },
    { "the body of a failure", "HTTP/1.1 500 x\r\nRequest-Id: (id)\r\n\r\n", Zeros },
    { "the body of an unsigned success", "HTTP/1.1 200 x\r\nRequest-Id: (id)\r\n\r\n", Zeros },
    { "interim answers", "", "HTTP/1.1 103 x\r\n\r\n" },
    { "answers to other requests", "", "HTTP/1.1 200 x\r\nRequest-Id: q\r\nContent-Length: 2\r\n\r\nok" },
    { "the body of an answer to another request", "HTTP/1.1 200 x\r\nRequest-Id: q\r\n\r\n", Zeros },
    { "bytes that are no message", "", std::string("\1\2\3", 3) },
    { "bytes behind the whole answer", WholeAnswer, Zeros, true },
};

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t all = 0;
    std::size_t resident = 0;
    file >> all >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}

TEST_GROUP(EndlessAnswers)
{
    std::unique_ptr<asio::io_context> context; // must outlive the objects below
    std::unique_ptr<LoopbackInstance> instance;
    std::unique_ptr<EndlessServer> endless; // backend server i-a
    std::unique_ptr<ScriptedServer> sound; // backend server i-b, which reports more load

    void setup() override
    {
        releaseLargeBlocksAtOnce();
    }

    void begin(const Case& item)
    {
        this->instance.reset();
        this->endless.reset();
        this->sound.reset();
        this->context = std::make_unique<asio::io_context>();
        this->instance = std::make_unique<LoopbackInstance>(*this->context);
        this->endless
            = std::make_unique<EndlessServer>(EndlessServer::Options{ .first = item.first, .repeated = item.repeated });
        this->sound = std::make_unique<ScriptedServer>(*this->context, [](const ScriptedRequest& request) {
            return scriptedAnswer(request, 200, "Instance-Id: i-b\r\nInstance-Load: 2,0,3,150\r\n");
        });
        this->instance->putServer("i-a", this->endless->address());
        this->instance->putServer("i-b", this->sound->address());
    }

    /** Waits until the endless server's connections are closed, for up to this long. */
    std::size_t openAnswersAfter(Milliseconds longest) const
    {
        const SteadyClock clock;
        const Milliseconds end = clock.now() + longest;
        while (this->endless->openAnswers() && clock.now() < end) {
            this->instance->runFor({ 10 });
            this->instance->closeExpiredConnections();
        }
        return this->endless->openAnswers();
    }

    void check(const Case& item, const std::string& firstLine)
    {
        this->begin(item);
        std::size_t most = 0;
        const std::vector<CallerAnswer> answers = this->instance->sendAll(
            firstLine, Callers, Patience, [&most] { most = std::max(most, residentBytes()); });
        const std::string text = std::string(item.name) + ", " + firstLine;
        const bool isRunOnce = firstLine.starts_with("POST");
        std::size_t sound = 0;
        std::size_t refused = 0;
        Milliseconds longest;
        for (const CallerAnswer& answer : answers) {
            CHECK_TEXT(answer.status != 0, text.c_str());
            // A part of an endless answer may reach its caller, who must see that it is broken.
            CHECK_TEXT(answer.isWhole || answer.hasEnded, text.c_str());
            sound += answer.status == 200 && answer.isWhole ? 1 : 0;
            refused += answer.status == 503 ? 1 : 0;
            longest = std::max(longest, answer.took);
            CHECK_TEXT(answer.status != 200 || !answer.isWhole || answer.text.ends_with("\r\n\r\nok"), text.c_str());
        }
        CHECK_TEXT(this->endless->requests() > 0, text.c_str());
        const std::size_t sent = this->endless->requests() + this->sound->requests();
        CHECK_TEXT(!isRunOnce || sent + refused <= Callers, (text + ": ran twice, or refused and ran").c_str());
        CHECK_TEXT(sound >= (isRunOnce ? 1 : Callers / 2), (text + ": served " + std::to_string(sound)).c_str());
        LONGS_EQUAL_TEXT(0, this->openAnswersAfter(item.isAnswered ? IdleTime : ClosedWithin), text.c_str());
        if (isInstrumented)
            return;
        CHECK_TEXT(longest < LongestExchange, (text + ": " + std::to_string(longest.count) + " ms").c_str());
        CHECK_TEXT(
            most <= MaxProcessBytes - UsualBytes, (text + ": " + std::to_string(most / 1000000) + " MB").c_str());
    }
};

TEST(EndlessAnswers, LeaveMemoryAndSoundServersToCallersOfRepeatableRequests)
{
    for (const Case& item : Cases)
        this->check(item, "GET /a/b");
}

TEST(EndlessAnswers, LeaveMemoryAndSoundServersToCallersOfRunOnceRequests)
{
    for (const Case& item : Cases)
        this->check(item, "POST /once/b");
}

// The sum of the bodies is bounded, so one caller's large answer must not be taken for one without end.
TEST(EndlessAnswers, DoNotCostLargeAnswersWithADeclaredLength)
{
    MemoryBound memory(1000);
    struct Holder final : MemoryHolder {
        bool isDeclared = false;
        bool wasDropped = false;

        DropOrder dropOrder() const override { return this->isDeclared ? DropOrder::Late : DropOrder::Usual; }
        void dropBytes() override { this->wasDropped = true; }
    };
    Holder declared;
    declared.isDeclared = true;
    Holder small;
    Holder large;
    memory.set(declared, 700);
    memory.set(small, 100);
    memory.set(large, 190);
    LONGS_EQUAL(990, memory.total());
    memory.set(small, 150);
    CHECK(large.wasDropped && !small.wasDropped && !declared.wasDropped);
    LONGS_EQUAL(850, memory.total());
    memory.set(declared, 900);
    CHECK_TEXT(small.wasDropped && !declared.wasDropped, "the next one without a declared length");
    memory.set(declared, 1001);
    CHECK_TEXT(declared.wasDropped, "alone too large");
    LONGS_EQUAL(0, memory.total());
    memory.remove(small);
}
