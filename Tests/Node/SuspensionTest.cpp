// An instance that was suspended for seconds finds its clock advanced when it
// resumes. It must do at once what became due meanwhile, and must not send
// requests whose callers have given up.

#include "Tests/Virtual/VirtualFleet.h"

#include <algorithm>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr std::size_t Instances = 4;
constexpr std::size_t Suspended = 3;
constexpr std::size_t Slots = 3;
constexpr Milliseconds Settling{ 3000 };
constexpr Milliseconds Span{ 6000 };
constexpr Milliseconds Patience{ 2000 };
constexpr Milliseconds AtOnce{ 30 };
/** Time after its resumption within which an instance must have the changes that it missed. */
constexpr Milliseconds Contact{ 3000 };

/** How the servers treat a request that is in progress when its instance is suspended. */
struct Case {
    const char* name;
    ServerFault fault;
    Milliseconds work;
    std::size_t requests;
    Milliseconds before; // from the request's arrival to the suspension
    std::vector<CallerOutcome> outcomes; // allowed results right after the suspension
};

const std::vector<Case> Cases{
    { "the server answers meanwhile", ServerFault::None, { 100 }, 1, { 20 }, { CallerOutcome::Answered } },
    { "the server hangs", ServerFault::Hangs, { 100 }, 1, { 400 }, { CallerOutcome::Unknown } },
    { "the connection breaks meanwhile", ServerFault::LosesAnswers, { 100 }, 1, { 20 }, { CallerOutcome::Unknown } },
    { "the request waits for load reports", ServerFault::Hangs, { 100 }, 1, { 5 }, { CallerOutcome::NotRun } },
    { "the request waits for a server", ServerFault::Hangs, { 100 }, 60, { 20 },
        { CallerOutcome::Unknown, CallerOutcome::NotRun } },
};

class SuspendedFleet {
public:
    explicit SuspendedFleet(const Case& item)
        : fleet({ .instances = Instances })
    {
        for (const char* id : { "s0", "s1", "s2" })
            this->fleet.addServer({ .id = id, .slots = Slots, .work = item.work });
        this->configure();
        this->fleet.startAll();
        this->fleet.run(Settling);
        for (const std::string& id : this->fleet.serverIds())
            this->fleet.server(id).setFault(item.fault);
    }

    StoreRevision configure()
    {
        return this->fleet.configure(virtualConfiguration(this->fleet.serverIds(), ++this->revision));
    }

    /** Suspends one instance while the rest of the fleet runs, then resumes it. */
    void suspend()
    {
        this->fleet.freeze(Suspended);
        this->fleet.run(Span);
        this->wokenAt = this->fleet.now();
        this->fleet.wake(Suspended);
    }

    std::size_t sentAfterwards() const
    {
        const auto& sent = this->fleet.sentAttempts();
        return static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(),
            [&](const SentAttempt& attempt) { return attempt.instance == Suspended && attempt.at >= this->wokenAt; }));
    }

    VirtualFleet fleet;

private:
    std::uint32_t revision = 0;
    Milliseconds wokenAt;
};

}

TEST_GROUP(Suspension){};

TEST(Suspension, RequestsOfBeforeEndAtOnceAndAreSentNowhere)
{
    for (const Case& item : Cases) {
        SuspendedFleet suspended(item);
        std::vector<std::uint64_t> callers;
        for (std::size_t count = 0; count < item.requests; ++count)
            callers.push_back(suspended.fleet.send(Suspended, { .method = "POST", .timeLeft = Patience }));
        suspended.fleet.run(item.before);
        suspended.suspend();
        suspended.fleet.run(AtOnce);
        for (const std::uint64_t caller : callers) {
            const CallerOutcome outcome = suspended.fleet.callers().at(caller).outcome;
            const bool isExpected
                = std::find(item.outcomes.begin(), item.outcomes.end(), outcome) != item.outcomes.end();
            CHECK_TEXT(isExpected, item.name);
        }
        LONGS_EQUAL_TEXT(0, suspended.sentAfterwards(), item.name);
        LONGS_EQUAL_TEXT(0, suspended.fleet.node(Suspended).openRequests(), item.name);
    }
}

TEST(Suspension, WhatWasChangedMeanwhileIsKnownSoonAndRequestsAreServed)
{
    SuspendedFleet suspended(Cases.front());
    suspended.fleet.clock().after({ 3000 }, [&] { suspended.configure(); });
    suspended.suspend();
    const auto caller = suspended.fleet.send(Suspended, { .timeLeft = Patience });
    suspended.fleet.run(Patience);
    CHECK(suspended.fleet.callers().at(caller).outcome == CallerOutcome::Answered);
    suspended.fleet.run(Contact - Patience);
    LONGS_EQUAL(suspended.fleet.theStore().revision(), suspended.fleet.node(Suspended).storeRevision());
    std::size_t watching = 0;
    for (std::size_t instance = 0; instance < Instances; ++instance)
        watching += suspended.fleet.node(instance).isWatching() ? 1 : 0;
    CHECK(watching >= 1 && watching <= 3);
}
