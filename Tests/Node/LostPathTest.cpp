// Some instances lose their network path to backend servers, while callers, the
// store and the other instances still reach them. Guards against these instances
// failing their callers although other instances reach the servers, and against
// blaming the servers for it.

#include "Tests/Virtual/FirstTries.h"
#include "Tests/Virtual/VirtualFleet.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr Milliseconds Settling{ 4000 };
/** Time from the start of a cut after which callers must be served again. */
constexpr Milliseconds Contact{ 3000 };
constexpr Milliseconds CutLasts{ 9000 };
/** Time from the start of a cut after which it is known to be the instances' own. */
constexpr Milliseconds BeforeKills{ 1000 };
constexpr Milliseconds AfterHealing{ 3000 };
constexpr Milliseconds TimeLeft{ 800 };
constexpr std::size_t ReadEvery = 2;
constexpr std::size_t DataCentreCount = 3;
struct Case {
    const char* name;
    std::size_t instances;
    std::size_t servers;
    Milliseconds interval; // between requests to the whole fleet
    ServerCut cut;
    std::function<bool(std::size_t instance)> isCut;
    std::set<std::string> cutServers; // empty: all
    Milliseconds killsEvery = Never; // between the ends of two instances that are not cut off, during the cut
};

bool isFirst(std::size_t instance)
{
    return instance == 0;
}

bool isInFirstDataCentre(std::size_t instance)
{
    return instance % DataCentreCount == 0;
}

bool isInFirstDataCentreButOne(std::size_t instance)
{
    return isInFirstDataCentre(instance) && instance > 0;
}

/** More than half of the instances, and those that watch the store among them. */
bool isAmongEight(std::size_t instance)
{
    return instance < 8;
}

bool isNotLast(std::size_t instance)
{
    return instance < 12;
}

const std::vector<Case> Cases{
    { "one of two", 2, 4, { 20 }, ServerCut::Silent, isFirst, {} },
    { "one of three, reset", 3, 6, { 15 }, ServerCut::Reset, isFirst, {} },
    { "one of three, new connections refused", 3, 6, { 15 }, ServerCut::NewRefused, isFirst, {} },
    { "one of three, new connections silent", 3, 6, { 15 }, ServerCut::NewSilent, isFirst, {} },
    { "one of three, one way", 3, 6, { 15 }, ServerCut::OneWay, isFirst, {} },
    { "eight of 13, silent", 13, 12, { 7 }, ServerCut::Silent, isAmongEight, {} },
    { "eight of 13, reset", 13, 12, { 7 }, ServerCut::Reset, isAmongEight, {} },
    { "12 of 13", 13, 12, { 7 }, ServerCut::Silent, isNotLast, {} },
    { "a data centre of 13", 13, 12, { 7 }, ServerCut::Silent, isInFirstDataCentre, {} },
    { "a data centre of 40 but one instance", 40, 12, { 5 }, ServerCut::Silent, isInFirstDataCentreButOne, {} },
    { "a data centre of 40, reset", 40, 12, { 5 }, ServerCut::Reset, isInFirstDataCentre, {} },
    { "eight of 13, from half of the servers", 13, 6, { 7 }, ServerCut::Silent, isAmongEight, { "s0", "s1", "s2" } },
    { "one of 95", 95, 24, { 4 }, ServerCut::Silent, isFirst, {} },
};

/** A fleet under steady load of which some instances are cut off from backend servers for a while. */
class CutFleet {
public:
    explicit CutFleet(const Case& givenCase)
        : item(givenCase)
        , fleet({ .instances = givenCase.instances, .seed = 11 })
    {
        for (std::size_t server = 0; server < givenCase.servers; ++server)
            this->fleet.addServer({ .id = "s" + std::to_string(server), .work = { 40 }, .workSpread = 0.5 });
        this->fleet.configure(virtualConfiguration(this->fleet.serverIds(), 1));
        this->fleet.startAll();
    }

    void play()
    {
        this->load(Settling);
        this->cutAt = this->fleet.now();
        this->setCut(this->item.cut);
        this->nextKill = this->item.killsEvery == Never ? Never : this->fleet.now() + BeforeKills;
        this->load(CutLasts);
        this->nextKill = Never;
        this->healedAt = this->fleet.now();
        this->setCut(ServerCut::None);
        this->load(AfterHealing * 2);
        this->fleet.run(TimeLeft * 2);
    }

    FirstTries tries(bool atCut, Milliseconds from, Milliseconds until) const
    {
        return countFirstTries(this->fleet, [&](const VirtualCaller& caller) {
            return this->item.isCut(caller.instance) == atCut && caller.sentAt >= from && caller.sentAt < until;
        });
    }

    /** First tries at cut instances, or at the others, while the cut lasts and callers must be served. */
    FirstTries triesDuringCut(bool atCut) const
    {
        return this->tries(atCut, this->cutAt + Contact, this->healedAt - TimeLeft);
    }
    FirstTries triesAfterHealing(bool atCut) const
    {
        return this->tries(atCut, this->healedAt + AfterHealing, this->healedAt + AfterHealing * 2);
    }

    VirtualFleet& virtualFleet() { return this->fleet; }
    Milliseconds cutBegin() const { return this->cutAt; }
    Milliseconds cutEnd() const { return this->healedAt; }

private:
    void setCut(ServerCut cut)
    {
        for (std::size_t instance = 0; instance < this->fleet.size(); ++instance) {
            if (this->item.isCut(instance))
                this->fleet.cutFromServers(instance, cut, this->item.cutServers);
        }
    }

    void load(Milliseconds span)
    {
        const Milliseconds end = this->fleet.now() + span;
        while (this->fleet.now() < end) {
            const std::size_t number = this->turn++;
            // The second digit: otherwise the same instances would always get the same kind of request.
            const bool isRead = number / this->fleet.size() % ReadEvery == 0;
            this->fleet.send(
                number % this->fleet.size(), "bookings.example", isRead ? "GET" : "POST", "/bookings", TimeLeft);
            this->fleet.run(this->item.interval);
            if (this->fleet.now() >= this->nextKill)
                this->killNext();
        }
    }

    /** Kills an instance that is not cut off, and starts the one that was killed before. */
    void killNext()
    {
        if (this->killed)
            this->fleet.start(*this->killed);
        std::size_t next = this->killed.value_or(0);
        do
            next = (next + 1) % this->fleet.size();
        while (this->item.isCut(next));
        this->fleet.kill(next);
        this->killed = next;
        this->nextKill = this->fleet.now() + this->item.killsEvery;
    }

    Case item;
    VirtualFleet fleet;
    std::size_t turn = 0;
    Milliseconds cutAt;
    Milliseconds healedAt;
    Milliseconds nextKill = Never;
    std::optional<std::size_t> killed;
};

void checkServed(const CutFleet& fleet, const std::string& name)
{
    const FirstTries cut = fleet.triesDuringCut(true);
    const FirstTries others = fleet.triesDuringCut(false);
    if (cut.isFarBelow(others))
        FAIL((name + ": " + cut.text() + " served at the first try, at the others " + others.text()).c_str());
    const FirstTries after = fleet.triesAfterHealing(true);
    if (after.hasManyFailures())
        FAIL((name + ": " + after.text() + " served from 3 s after the cut").c_str());
}

void checkInvariants(const VirtualFleet& fleet, const std::string& name)
{
    for (const auto& broken : { brokenPromises(fleet), refusedDespitePath(fleet) }) {
        if (!broken.empty())
            FAIL((name + ": " + broken.front()).c_str());
    }
}

}

TEST_GROUP(LostPath){};

// Guards against callers of an instance without a path to backend servers being served less than two thirds as often
// as callers of the other instances.
TEST(LostPath, CallersAreServedLikeThoseOfOtherInstances)
{
    for (const Case& item : Cases) {
        CutFleet fleet(item);
        fleet.play();
        checkServed(fleet, item.name);
        checkInvariants(fleet.virtualFleet(), item.name);
    }
}

// Guards against harmless requests being reported as crashing servers because an instance's connections were reset and
// new ones refused.
TEST(LostPath, NoRequestIsTakenForCrashingServers)
{
    CutFleet fleet({ "eight of 13, reset", 13, 12, { 7 }, ServerCut::Reset, isAmongEight, {} });
    fleet.play();
    for (std::size_t instance = 0; instance < fleet.virtualFleet().size(); ++instance)
        LONGS_EQUAL(0, fleet.virtualFleet().node(instance).counters().value(DecisionCount::ServerEndsSeen));
}

// Guards against sound servers being ejected because instances that relayed requests to them ended.
TEST(LostPath, NoServerIsBlamedForTheEndOfARelay)
{
    const std::vector<Case> cases{
        { "one of three, reset", 3, 6, { 15 }, ServerCut::Reset, isFirst, {}, { 2500 } },
        { "eight of 13, reset", 13, 12, { 7 }, ServerCut::Reset, isAmongEight, {}, { 250 } },
        { "eight of 13, new connections refused", 13, 12, { 7 }, ServerCut::NewRefused, isAmongEight, {}, { 250 } },
    };
    for (const Case& item : cases) {
        CutFleet fleet(item);
        fleet.play();
        checkInvariants(fleet.virtualFleet(), item.name);
        std::uint64_t ended = 0;
        for (std::size_t instance = 0; instance < fleet.virtualFleet().size(); ++instance) {
            if (!item.isCut(instance))
                continue;
            const DecisionCounters& counters = fleet.virtualFleet().node(instance).counters();
            LONGS_EQUAL_TEXT(0, counters.value(DecisionCount::ServerEndsSeen), item.name);
            LONGS_EQUAL_TEXT(0, counters.value(DecisionCount::Ejections), item.name);
            ended += counters.value(DecisionCount::RelaysEnded);
        }
        CHECK_TEXT(ended > 0, item.name);
    }
}

// Guards against requests being held until their deadline when no instance reaches any backend server.
TEST(LostPath, RequestsAreRefusedAtOnceWhenAllInstancesAreCut)
{
    constexpr Milliseconds longestHold{ 60 };
    CutFleet fleet({ "all", 13, 12, { 7 }, ServerCut::Silent, [](std::size_t) { return true; }, {} });
    fleet.play();
    std::size_t held = 0;
    std::size_t all = 0;
    for (const auto& [number, caller] : fleet.virtualFleet().callers()) {
        if (caller.sentAt < fleet.cutBegin() + Contact || caller.sentAt >= fleet.cutEnd() - TimeLeft)
            continue;
        ++all;
        const bool isTold = caller.outcome == CallerOutcome::NotRun && caller.comeBackAfter.count > 0;
        held += isTold && caller.endedAt - caller.sentAt <= longestHold ? 0 : 1;
    }
    // Some requests find out whether the path is back.
    const FirstTries refused{ .all = all, .served = all - held };
    if (refused.hasManyFailures())
        FAIL((std::to_string(held) + " of " + std::to_string(all) + " were not refused at once as not run").c_str());
    CHECK(!fleet.triesAfterHealing(true).hasManyFailures());
}
