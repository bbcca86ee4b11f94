// Guards against one request that crashes all servers of a service. The request
// crashes each server that runs it, 50 to 140 ms after it arrives. It was
// retried at other servers, and its caller sent it again with another id
// through other instances: six of seven servers crashed within a third of a
// second, the seventh followed, and after their restart they crashed again, 24
// times in all. Instances evaluated servers only; they kept nothing about a
// request after its end and did not share what they had seen. At each crash the
// same path, caller and body was in flight, while the other requests varied.

#include "Tests/Virtual/VirtualFleet.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr std::size_t Servers = 7;
constexpr std::size_t Struck = 1; // the instance that is killed, suspended or partitioned
constexpr std::size_t CrashesThatProve = 3;
constexpr std::size_t MaxSentLater = 3;
/** Three crashes are proof; attempts already in flight, or sent before slow gossip updates arrive, cause some more. */
constexpr std::size_t MaxCrashes = 8;
/** The time after the third crash by which every connected instance must know of the request. */
constexpr Milliseconds KnownWithin{ 3000 };
constexpr Milliseconds Settling{ 4000 };
constexpr Milliseconds Gap{ 20 };
/** The interval at which the request is sent again, each time to another instance. */
constexpr Milliseconds ResendInterval{ 160 };

const VirtualRequest Harmful{ .path = "/crews/7", .caller = "10.0.2.7", .body = "x", .crashesServers = true };

/** The faults during the crashes; times are relative to the first arrival of the request. */
struct Case {
    const char* name;
    std::size_t instances;
    std::function<void(VirtualFleet&)> plan;
    Milliseconds toPeer{ 1 };
    Milliseconds struckKnowsFrom; // from this time on, the struck instance must know of the request
    Milliseconds watched{ 20000 };
};

/** Schedules an action after this delay. */
void schedule(VirtualFleet& fleet, Milliseconds duration, std::function<void(VirtualFleet&)> action)
{
    fleet.clock().after(duration, [&fleet, action = std::move(action)] { action(fleet); });
}

void noFault(VirtualFleet&) { }

void startLater(VirtualFleet& fleet)
{
    fleet.kill(Struck);
    schedule(fleet, { 6000 }, [](VirtualFleet& all) { all.start(Struck); });
}

void suspend(VirtualFleet& fleet)
{
    fleet.freeze(Struck);
    schedule(fleet, { 8000 }, [](VirtualFleet& all) { all.wake(Struck); });
}

void partition(VirtualFleet& fleet)
{
    fleet.cutFromPeers(Struck, true);
    schedule(fleet, { 8000 }, [](VirtualFleet& all) { all.cutFromPeers(Struck, false); });
}

void restartAll(VirtualFleet& fleet)
{
    schedule(fleet, { 5000 }, [](VirtualFleet& all) {
        for (std::size_t instance = 0; instance < all.size(); ++instance) {
            all.kill(instance);
            all.start(instance);
        }
    });
}

void restartWatchers(VirtualFleet& fleet)
{
    schedule(fleet, { 400 }, [](VirtualFleet& all) {
        for (std::size_t instance = 0; instance < all.size(); ++instance) {
            if (!all.isAlive(instance) || !all.node(instance).isWatching())
                continue;
            all.kill(instance);
            all.start(instance);
        }
    });
}

void takeStoreDown(VirtualFleet& fleet)
{
    fleet.theStore().setFault(StoreFault::Down);
    schedule(fleet, { 9000 }, [](VirtualFleet& all) { all.theStore().setFault(StoreFault::None); });
}

const std::vector<Case> Cases{
    { .name = "three", .instances = 3, .plan = noFault },
    { .name = "eighteen", .instances = 18, .plan = noFault },
    { .name = "eighteen, slow gossip updates", .instances = 18, .plan = noFault, .toPeer = { 300 } },
    { .name = "ninety-five, slow gossip updates",
        .instances = 95,
        .plan = noFault,
        .toPeer = { 150 },
        .watched = { 8000 } },
    { .name = "hundreds", .instances = 473, .plan = noFault, .watched = { 4600 } },
    { .name = "one starts", .instances = 18, .plan = startLater, .struckKnowsFrom = { 9000 } },
    { .name = "one of three starts", .instances = 3, .plan = startLater, .struckKnowsFrom = { 9000 } },
    { .name = "one is suspended", .instances = 18, .plan = suspend, .struckKnowsFrom = { 11000 } },
    { .name = "one of three is suspended", .instances = 3, .plan = suspend, .struckKnowsFrom = { 11000 } },
    { .name = "one is partitioned from the others", .instances = 18, .plan = partition, .struckKnowsFrom = { 11000 } },
    { .name = "all restart", .instances = 18, .plan = restartAll },
    { .name = "all of ninety-five restart", .instances = 95, .plan = restartAll, .watched = { 10000 } },
    { .name = "the watchers restart", .instances = 18, .plan = restartWatchers },
    { .name = "the store is down", .instances = 18, .plan = takeStoreDown },
};

struct Outcome {
    std::size_t crashes = 0;
    std::size_t sentLater = 0;
};

/** A fleet under load that also receives the crashing request repeatedly, through all instances in turn. */
class StruckFleet {
public:
    explicit StruckFleet(const Case& item)
        : fleet({ .instances = item.instances,
            .toPeer = item.toPeer,
            .store = { .staleBehind = { 2000 } },
            .weakCapacity = 10,
            .strongInstances = 2 + item.instances / 12 })
        , struckKnowsFrom(item.struckKnowsFrom)
    {
        for (std::size_t server = 0; server < Servers; ++server)
            this->fleet.addServer({ .id = "s" + std::to_string(server), .work = { 60 }, .workSpread = 0.5 });
        this->fleet.configure(virtualConfiguration(this->fleet.serverIds(), 1));
        this->fleet.startAll();
        this->fleet.run(Settling);
        this->begunAt = this->fleet.now();
        item.plan(this->fleet);
    }

    void load(Milliseconds duration)
    {
        const Milliseconds end = this->fleet.now() + duration;
        while (this->fleet.now() < end) {
            const std::size_t number = this->turn++;
            // Harmless requests share either the path or the caller with the crashing one.
            const bool isOther = number % 2;
            this->fleet.send(number % this->fleet.size(),
                { .path = isOther ? Harmful.path : "/crews/8", .caller = isOther ? "10.0.2.8" : Harmful.caller });
            if (this->fleet.now() >= this->nextResend) {
                this->fleet.send(this->resends++ * 7 % this->fleet.size(), Harmful);
                this->nextResend = this->fleet.now() + ResendInterval;
            }
            this->fleet.run(Gap);
        }
    }

    /** The sum of a counter over all instances. */
    template <typename Reason>
    std::uint64_t counted(Reason reason)
    {
        std::uint64_t sum = 0;
        for (std::size_t instance = 0; instance < this->fleet.size(); ++instance)
            sum += this->fleet.node(instance).counters().value(reason);
        return sum;
    }

    /** The times of all server crashes, in order. */
    std::vector<Milliseconds> crashes() const
    {
        std::vector<Milliseconds> times;
        for (const std::string& id : this->fleet.serverIds()) {
            const auto& some = this->fleet.server(id).crashes();
            times.insert(times.end(), some.begin(), some.end());
        }
        std::sort(times.begin(), times.end());
        return times;
    }

    /** How often the request was sent to a server after all connected instances should have known of it. */
    std::size_t sentLater() const
    {
        const std::vector<Milliseconds> times = this->crashes();
        if (times.size() < CrashesThatProve)
            return 0;
        const Milliseconds known = times[CrashesThatProve - 1] + KnownWithin;
        const auto& sent = this->fleet.sentAttempts();
        return static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), [&](const SentAttempt& attempt) {
            const bool shouldKnow = attempt.instance != Struck || attempt.at >= this->begunAt + this->struckKnowsFrom;
            return attempt.crashesServers && attempt.isListening && shouldKnow && attempt.at > known;
        }));
    }

    VirtualFleet fleet;

private:
    Milliseconds struckKnowsFrom;
    Milliseconds begunAt;
    std::size_t turn = 0;
    std::size_t resends = 0;
    Milliseconds nextResend = LongAgo;
};

} // namespace

TEST_GROUP(CrashingRequest){};

TEST(CrashingRequest, IsSentAtMostThreeTimesMoreByTheWholeFleet)
{
    for (const Case& item : Cases) {
        StruckFleet struck(item);
        struck.load(item.watched);
        const Outcome outcome{ .crashes = struck.crashes().size(), .sentLater = struck.sentLater() };
        const std::string found = std::string(item.name) + ": sent " + std::to_string(outcome.sentLater)
            + " more times, " + std::to_string(outcome.crashes) + " servers crashed";
        CHECK_TEXT(outcome.crashes >= CrashesThatProve, found.c_str());
        CHECK_TEXT(outcome.sentLater <= MaxSentLater, found.c_str());
        CHECK_TEXT(outcome.crashes <= MaxCrashes, found.c_str());
    }
}

TEST(CrashingRequest, IsRefusedAtOnceWithItsReasonAndCounted)
{
    StruckFleet struck(Cases.front());
    struck.load({ 4000 });
    CHECK(struck.counted(DecisionCount::ServerEndsSeen) >= CrashesThatProve);
    CHECK(struck.counted(DecisionCount::RequestsFoundCrashing) > 0);
    CHECK(struck.counted(DecisionCount::RetriesWithheld) > 0);
    const std::uint64_t before = struck.counted(RefusalReason::CrashesBackendServers);
    const std::size_t sent = struck.fleet.sentAttempts().size();
    for (std::size_t instance = 0; instance < struck.fleet.size(); ++instance) {
        const auto caller = struck.fleet.send(instance, Harmful);
        CHECK(struck.fleet.callers().at(caller).outcome == CallerOutcome::NotRun);
        CHECK(struck.fleet.callers().at(caller).comeBackAfter.count > 0);
        const auto shown = struck.fleet.node(instance).showCrashingRequests(struck.fleet.now());
        const auto& requests = shown.requests();
        CHECK(std::any_of(requests.begin(), requests.end(), [](const auto& item) { return item.refused(); }));
    }
    LONGS_EQUAL(before + struck.fleet.size(), struck.counted(RefusalReason::CrashesBackendServers));
    LONGS_EQUAL(sent, struck.fleet.sentAttempts().size());
}
