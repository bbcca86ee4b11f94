// A backend server in need named in its answers how many requests a second it
// takes from all instances together, and went on getting three times as many.
// Cause: the header dialect did not read the field, and no part of the
// decisions knew of such a limit.
// Proof: this test on the code before, over real connections.

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
/** What was under way when the server spoke first. */
constexpr Milliseconds OnItsWay{ 500 };
/** What the platform allows in a window: one and a half times the limit, and five requests. */
constexpr auto MostInWindow = static_cast<std::size_t>(1.5 * Limit * WindowSeconds + 5);
/** Seven tenths of the limit are to be used where callers want more. */
constexpr auto LeastInWindow = static_cast<std::size_t>(0.7 * Limit * WindowSeconds);
/** The instance knows then how large the fleet is. */
constexpr Milliseconds Settling{ 4500 };
constexpr Milliseconds BetweenCalls{ 20 };

/** In which answers the server names its limit. */
struct Case {
    const char* name;
    unsigned status;
    std::string fields; // of these answers, besides the limit
    bool inHealthAnswers;
};

const std::vector<Case> Cases{
    { "in each answer", 200, "Instance-Id: i-a\r\n", true },
    { "in answers to requests", 200, "", false },
    { "in errors", 500, "Instance-Id: i-a\r\n", false },
    { "where it turns requests away", 503, "Not-Executed: 1\r\n", false },
};

}

TEST_GROUP(NamedLimits)
{
    std::unique_ptr<asio::io_context> context; // outlives what uses it
    std::unique_ptr<LoopbackInstance> instance;
    std::unique_ptr<ScriptedServer> limited; // i-a
    std::unique_ptr<ScriptedServer> other; // i-b
    SteadyClock clock;
    std::vector<Milliseconds> arrivals; // of requests at i-a

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

    /** Calls one after another for the span; gives how many of them were answered. */
    std::size_t callFor(Milliseconds span) const
    {
        std::size_t answered = 0;
        const Milliseconds end = this->clock.now() + span;
        while (this->clock.now() < end) {
            answered += this->instance->call().status == 200 ? 1 : 0;
            this->instance->pass(BetweenCalls);
        }
        return answered;
    }

    /** Requests that came in the window that began half a second after the first one. */
    std::size_t counted() const
    {
        if (this->arrivals.empty())
            return 0;
        const Milliseconds from = this->arrivals.front() + OnItsWay;
        return static_cast<std::size_t>(std::count_if(this->arrivals.begin(), this->arrivals.end(),
            [from](Milliseconds at) { return at >= from && at < from + Window; }));
    }
};

TEST(NamedLimits, OfTheOnlyServerAreKeptAndUsed)
{
    this->begin(Cases.front());
    this->instance->pass(Settling);
    this->callFor(OnItsWay + Window);
    CHECK_COMPARE(this->counted(), <=, MostInWindow);
    CHECK_COMPARE(this->counted(), >=, LeastInWindow);
}

TEST(NamedLimits, AreKeptInWhicheverAnswerTheyAreNamed)
{
    for (const Case& item : Cases) {
        this->begin(item);
        this->instance->call();
        this->instance->putServer("i-b", this->other->address());
        this->callFor(OnItsWay + Window);
        CHECK_TEXT(this->counted() <= MostInWindow, item.name);
        // Without a word in health answers the first request hears it.
        CHECK_TEXT(item.inHealthAnswers || !this->arrivals.empty(), item.name);
    }
}

TEST(NamedLimits, LeaveTheRestToOtherServers)
{
    this->begin(Cases.front());
    this->instance->putServer("i-b", this->other->address());
    const std::size_t answered = this->callFor(Window);
    CHECK_TEXT(answered > MostInWindow, "nobody is refused while another server has room");
    CHECK_TEXT(this->arrivals.size() <= MostInWindow, "the limit");
}
