// An overloaded backend server states in its answers how many requests per
// second it accepts from all instances together. Instances that do not read
// that field sent a server three times as many.

#include "Tests/Platform/LoopbackInstance.h"
#include "Tests/Platform/ScriptedServer.h"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr double Limit = 4; // requests a second
constexpr double WindowSeconds = 4;
constexpr Milliseconds Window{ 1000 * WindowSeconds };
/** Requests that were sent before the first answer may still arrive for this long and are not counted. */
constexpr Milliseconds TimeInFlight{ 500 };
/** The platform allows in a window one and a half times the limit and five requests more. */
constexpr auto MaxInWindow = static_cast<std::size_t>(1.5 * Limit * WindowSeconds + 5);
/** At least 0.7 of the limit must be used if callers send more than that. */
constexpr auto MinInWindow = static_cast<std::size_t>(0.7 * Limit * WindowSeconds);
/** After this time the instance knows the number of instances that share the limit. */
constexpr Milliseconds FleetSizeKnownAfter{ 4500 };
constexpr Milliseconds BetweenCalls{ 20 };

/** The answers in which the server states its limit. */
struct Case {
    const char* name;
    unsigned status; // of answers to requests
    std::string fields; // of the answers that state the limit
    bool inHealthAnswers; // the limit is also stated in answers to probes
};

const std::vector<Case> Cases{
    { "in all answers", 200, "Instance-Id: i-a\r\n", true },
    { "in successful answers to requests", 200, "", false },
    { "in errors", 500, "Instance-Id: i-a\r\n", false },
    { "in refusals", 503, "Not-Executed: 1\r\n", false },
};

}

TEST_GROUP(NamedLimits)
{
    std::unique_ptr<asio::io_context> context; // must outlive the objects below
    std::unique_ptr<LoopbackInstance> instance;
    std::unique_ptr<ScriptedServer> limited; // backend server i-a
    std::unique_ptr<ScriptedServer> other; // backend server i-b
    SteadyClock clock;
    std::vector<Milliseconds> arrivals; // times at which requests arrived at i-a

    void begin(const Case& item)
    {
        this->instance.reset();
        this->limited.reset();
        this->other.reset();
        this->arrivals.clear();
        this->context = std::make_unique<asio::io_context>();
        this->instance = std::make_unique<LoopbackInstance>(*this->context);
        this->limited = std::make_unique<ScriptedServer>(*this->context, [this, item](const ScriptedRequest& request) {
            if (!request.isProbe)
                this->arrivals.push_back(this->clock.now());
            const std::string load = "Instance-Load: 0,0,3,100\r\n";
            if (request.isProbe && !item.inHealthAnswers)
                return scriptedAnswer(request, 200, load);
            return scriptedAnswer(
                request, request.isProbe ? 200 : item.status, load + item.fields + "Server-Limit: 4.0\r\n");
        });
        this->other = std::make_unique<ScriptedServer>(*this->context, [](const ScriptedRequest& request) {
            return scriptedAnswer(request, 200, "Instance-Load: 1,0,3,150\r\n");
        });
        this->instance->putServer("i-a", this->limited->address());
    }

    /** Sends requests one after another for this long; returns the number of successful answers. */
    std::size_t callFor(Milliseconds duration) const
    {
        std::size_t answered = 0;
        const Milliseconds end = this->clock.now() + duration;
        while (this->clock.now() < end) {
            answered += this->instance->call().status == 200 ? 1 : 0;
            this->instance->runFor(BetweenCalls);
        }
        return answered;
    }

    /** The number of requests at i-a in the window that begins 500 ms after the first request. */
    std::size_t counted() const
    {
        if (this->arrivals.empty())
            return 0;
        const Milliseconds from = this->arrivals.front() + TimeInFlight;
        return static_cast<std::size_t>(std::count_if(this->arrivals.begin(), this->arrivals.end(),
            [from](Milliseconds at) { return at >= from && at < from + Window; }));
    }
};

TEST(NamedLimits, OfTheOnlyServerAreRespectedAndUsed)
{
    this->begin(Cases.front());
    this->instance->runFor(FleetSizeKnownAfter);
    this->callFor(TimeInFlight + Window);
    CHECK_COMPARE(this->counted(), <=, MaxInWindow);
    CHECK_COMPARE(this->counted(), >=, MinInWindow);
}

TEST(NamedLimits, AreReadFromEachKindOfAnswer)
{
    for (const Case& item : Cases) {
        this->begin(item);
        this->instance->call();
        this->instance->putServer("i-b", this->other->address());
        this->callFor(TimeInFlight + Window);
        CHECK_TEXT(this->counted() <= MaxInWindow, item.name);
        // If answers to probes do not state the limit, only the answer to a first request can.
        CHECK_TEXT(item.inHealthAnswers || !this->arrivals.empty(), item.name);
    }
}

TEST(NamedLimits, DirectFurtherRequestsToOtherServers)
{
    this->begin(Cases.front());
    this->instance->putServer("i-b", this->other->address());
    const std::size_t answered = this->callFor(Window);
    CHECK_TEXT(answered > MaxInWindow, "no request is refused while another server has capacity");
    CHECK_TEXT(this->arrivals.size() <= MaxInWindow, "the limit");
}
