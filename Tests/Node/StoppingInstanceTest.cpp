// Guards requests that arrive during a planned stop. A stopping instance sent requests to servers until its listener
// was closed, with their whole time left, and ended while the servers were still working on them: callers lost the
// answers, and could not tell whether a run-once request had run. Now a request that may outlast the process is
// refused at once as not run, and all others are answered.

#include "Tests/Virtual/VirtualFleet.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

/** From the beginning of the stop until callers know of it, its requests must be answered, and the process ends. */
constexpr Milliseconds Noticed{ 1400 };
constexpr Milliseconds Due{ 3000 };
constexpr Milliseconds End{ 3200 };
constexpr Milliseconds Work{ 300 };
/** The longest time from arrival to refusal. */
constexpr Milliseconds AtOnce{ 10 };
constexpr std::size_t Stopping = 0;

struct Case {
    const char* name;
    Milliseconds sentAt; // since the beginning of the stop
    Milliseconds timeLeft; // of the caller
    const char* method;
    CallerOutcome outcome;
};

constexpr CallerOutcome Answered = CallerOutcome::Answered;
constexpr CallerOutcome NotRun = CallerOutcome::NotRun;

const std::vector<Case> Cases{
    { "in flight when the stop begins", { -20 }, { 2900 }, "POST", Answered },
    { "run once, in time", { 500 }, { 2000 }, "POST", Answered },
    { "run once, in time to the millisecond", { 1000 }, { 1995 }, "POST", Answered },
    { "run once, too late by its caller's time", { 1000 }, { 2100 }, "POST", NotRun },
    { "run once, shortly before the end", { 2800 }, { 2000 }, "POST", NotRun },
    { "may repeat, likely in time while callers cannot know", { 1000 }, { 9000 }, "GET", Answered },

    { "may repeat, likely in time after callers can know", { 1450 }, { 9000 }, "GET", NotRun },
    { "may repeat, in time", { 1500 }, { 1200 }, "GET", Answered },
    { "may repeat, too late by its caller's time", { 1500 }, { 2000 }, "GET", NotRun },
    { "may repeat, shortly before the end", { 2800 }, { 2000 }, "GET", NotRun },
};

v1::Configuration configurationOf(Milliseconds timeout)
{
    v1::Configuration configuration = virtualConfiguration({ "s0", "s1" }, 1);
    v1::Service* service = configuration.mutable_services(0);
    service->mutable_limits()->set_deadline_milliseconds(static_cast<std::uint32_t>(timeout.count));
    v1::RequestRule* search = service->add_rules();
    search->set_method("GET");
    search->set_path_prefix("/");
    search->set_repeat(v1::MAY_REPEAT);
    search->set_target_milliseconds(static_cast<std::uint32_t>(Work.count)); // from which usual times are first guessed
    return configuration;
}

}

TEST_GROUP(StoppingInstance)
{
    /** The fleet of one case, with all servers idle; the stop begins 1 s after its start. */
    struct Scenario {
        explicit Scenario(std::size_t instances = 2, Milliseconds timeout = { 10000 })
            : fleet({ .instances = instances })
        {
            this->fleet.addServer({ .id = "s0", .work = Work });
            this->fleet.addServer({ .id = "s1", .work = Work });
            this->fleet.configure(configurationOf(timeout));
            this->fleet.startAll();
            this->fleet.run({ 1000 });
        }

        std::uint64_t send(const char* method, Milliseconds timeLeft)
        {
            return this->fleet.send(Stopping, { .method = method, .path = "/bookings", .timeLeft = timeLeft });
        }

        void setFaults(ServerFault fault)
        {
            for (const char* server : { "s0", "s1" })
                this->fleet.server(server).setFault(fault);
        }

        void stop() { this->fleet.stop(Stopping, { .noticedBy = Noticed, .answersDue = Due, .end = End }); }

        VirtualFleet fleet;
    };

    static void check(const Case& item)
    {
        Scenario scenario;
        const bool isBefore = item.sentAt.count < 0;
        std::uint64_t number = 0;
        if (isBefore) {
            number = scenario.send(item.method, item.timeLeft);
            scenario.fleet.run({ -item.sentAt.count });
        }
        scenario.stop();
        if (!isBefore) {
            scenario.fleet.run(item.sentAt);
            number = scenario.send(item.method, item.timeLeft);
        }
        scenario.fleet.run(End + Second);
        const VirtualCaller& caller = scenario.fleet.callers().at(number);
        CHECK_TEXT(caller.outcome == item.outcome, item.name);
        if (item.outcome != NotRun)
            return;
        CHECK_TEXT(caller.endedAt - caller.sentAt <= AtOnce, item.name);
        CHECK_TEXT(caller.reason == RefusalReason::Stopping, item.name);
        CHECK_TEXT(scenario.fleet.sentAttempts().empty(), item.name);
    }
};

TEST(StoppingInstance, SendsOnlyWhatMustBeAnsweredBeforeItEnds)
{
    for (const Case& item : Cases)
        check(item);
}

// Where the time that a service allows is near the bound of the stop, run-once requests of 2 ms were refused for all of
// it.
TEST(StoppingInstance, TakesWhatTheLongestTimesOfTheRouteLeaveRoomFor)
{
    constexpr int earlier = 120;
    for (const bool hadLongOne : { false, true }) {
        Scenario scenario(1);
        scenario.setFaults(hadLongOne ? ServerFault::Slow : ServerFault::None);
        scenario.send("POST", { 9000 });
        scenario.fleet.run({ 4000 });
        scenario.setFaults(ServerFault::None);
        for (int request = 0; request < earlier; ++request) {
            scenario.send("POST", { 9000 });
            scenario.fleet.run(Work * 0.5);
        }
        scenario.fleet.run(Work * 2);
        scenario.stop();
        scenario.fleet.run({ 1800 });
        const std::uint64_t inTime = scenario.send("POST", { 9000 });
        scenario.fleet.run({ 1000 });
        const std::uint64_t late = scenario.send("POST", { 9000 });
        scenario.fleet.run(End);
        CHECK(scenario.fleet.callers().at(inTime).outcome == (hadLongOne ? NotRun : Answered));
        CHECK(scenario.fleet.callers().at(late).outcome == NotRun);
    }
}

// The caller's time may be longer than the service allows: then the service's time counts.
TEST(StoppingInstance, CountsTheTimeThatTheServiceAllows)
{
    Scenario scenario(2, { 1500 });
    scenario.stop();
    scenario.fleet.run({ 1000 });
    const std::uint64_t number = scenario.send("POST", { 60000 });
    scenario.fleet.run(End);
    CHECK(scenario.fleet.callers().at(number).outcome == CallerOutcome::Answered);
}

// A request that was already waiting for a server when the stop began was sent later, with all its time.
TEST(StoppingInstance, RefusesWhatStillWaits)
{
    Scenario scenario;
    constexpr std::size_t slots = 6; // of both servers
    std::vector<std::uint64_t> running;
    running.reserve(slots);
    for (std::size_t request = 0; request < slots; ++request)
        running.push_back(scenario.send("POST", { 2500 }));
    scenario.fleet.run({ 20 });
    const std::uint64_t waiting = scenario.send("POST", { 9000 });
    scenario.fleet.run({ 20 });
    scenario.stop();
    scenario.fleet.run(AtOnce);
    CHECK(scenario.fleet.callers().at(waiting).outcome == CallerOutcome::NotRun);
    scenario.fleet.run(End);
    for (const std::uint64_t number : running)
        CHECK(scenario.fleet.callers().at(number).outcome == CallerOutcome::Answered);
}

// A retry that may outlast the process would end as the first try of a late request did.
TEST(StoppingInstance, DoesNotRetryWhatMayOutlastIt)
{
    Scenario scenario;
    scenario.setFaults(ServerFault::LosesAnswers);
    scenario.stop();
    scenario.fleet.run(Noticed - Milliseconds{ 100 });
    const std::uint64_t number = scenario.send("GET", { 9000 });
    scenario.fleet.run(End);
    CHECK(scenario.fleet.callers().at(number).outcome == CallerOutcome::Unknown);
    LONGS_EQUAL(1, scenario.fleet.sentAttempts().size());
}

// Callers are sent on at any size of the fleet: one that is refused is served by the next instance in time.
TEST(StoppingInstance, SendsItsCallersToOthersThatServeThem)
{
    for (const std::size_t instances : { 2U, 12U, 40U }) {
        Scenario scenario(instances);
        scenario.stop();
        scenario.fleet.run({ 2000 });
        const std::uint64_t refused = scenario.send("POST", { 4000 });
        scenario.fleet.run(AtOnce);
        const Milliseconds comeBack = scenario.fleet.callers().at(refused).comeBackAfter;
        CHECK(comeBack.count > 0 && comeBack <= Milliseconds{ 200 });
        scenario.fleet.run(comeBack);
        const std::uint64_t again
            = scenario.fleet.send(instances - 1, { .method = "POST", .path = "/bookings", .timeLeft = { 3700 } });
        scenario.fleet.run(End);
        CHECK(scenario.fleet.callers().at(again).outcome == CallerOutcome::Answered);
    }
}
