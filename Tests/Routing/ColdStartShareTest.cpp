#include "Routing/ColdStartShare.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

struct Case {
    const char* name;
    std::size_t instances;
    double perSecond;
};

const std::vector<Case> Cases{ { "three", 3, 2.5 }, { "eighteen", 18, 2.5 }, { "a hundred", 95, 2.5 },
    { "hundreds", 473, 2.5 }, { "three, low rate", 3, 0.5 }, { "hundreds, higher rate", 473, 6 } };

constexpr int SecondMilliseconds = 1000;
constexpr int SpanMilliseconds = 6000;
constexpr int Servers = 40;
/** The users' platform allows the rate of a cold server times this factor, plus the slack, in any second. */
constexpr double Overage = 1.5;
constexpr double Slack = 8;

BackendServerState coldServer(const std::string& id)
{
    BackendServerRecord record;
    record.id = id;
    record.coldRemaining = { 60000 };
    return { record, { 0 } };
}

/** The method by which an instance of a fleet keeps to its share. */
class Keeper {
public:
    virtual ~Keeper() = default;
    virtual bool send(const BackendServerState& server, Milliseconds now) = 0;
};

class DealtKeeper final : public Keeper {
public:
    DealtKeeper(const Case& item, std::size_t seed)
        : random(seed)
    {
        this->share.configure({ .perSecond = item.perSecond, .instances = item.instances });
    }

    bool send(const BackendServerState& server, Milliseconds now) override
    {
        if (!this->share.allows(server, this->random, now))
            return false;
        this->share.sent(server, this->random, now);
        return true;
    }

private:
    Random random;
    ColdStartShare share;
};

/** Each instance may send one request at once, and then one whenever its share of the rate allows it. */
class NaiveKeeper final : public Keeper {
public:
    explicit NaiveKeeper(const Case& item)
        : pause(Second * (static_cast<double>(item.instances) / item.perSecond))
    {
    }

    bool send(const BackendServerState&, Milliseconds now) override
    {
        if (now < this->nextAt)
            return false;
        this->nextAt = now + this->pause;
        return true;
    }

private:
    Milliseconds pause;
    Milliseconds nextAt = LongAgo;
};

using Fleet = std::vector<std::unique_ptr<Keeper>>;

Fleet dealtFleet(const Case& item, std::size_t seed)
{
    Fleet fleet;
    for (std::size_t instance = 0; instance < item.instances; ++instance)
        fleet.push_back(std::make_unique<DealtKeeper>(item, seed * item.instances + instance));
    return fleet;
}

Fleet naiveFleet(const Case& item)
{
    Fleet fleet;
    for (std::size_t instance = 0; instance < item.instances; ++instance)
        fleet.push_back(std::make_unique<NaiveKeeper>(item));
    return fleet;
}

/** The maximum number of requests within any second when each instance tries to send every `every` milliseconds. */
int mostInAnySecond(const Fleet& fleet, int every)
{
    const BackendServerState server = coldServer("s1");
    std::vector<int> at(SpanMilliseconds, 0);
    int within = 0;
    int most = 0;
    for (int now = 0; now < SpanMilliseconds; ++now) {
        for (const auto& keeper : fleet)
            at[now] += now % every == 0 && keeper->send(server, { static_cast<double>(now) }) ? 1 : 0;
        within += at[now];
        if (now >= SecondMilliseconds)
            within -= at[now - SecondMilliseconds];
        most = std::max(most, within);
    }
    return most;
}

}

TEST_GROUP(ColdStartShare){};

// The limit holds from the first moment on, when no instance has sent anything before.
TEST(ColdStartShare, TheFleetKeepsTheBoundInEverySecond)
{
    for (const Case& item : Cases) {
        for (int server = 0; server < Servers; ++server) {
            for (const int every : { 10, 249, 999 }) {
                const int most = mostInAnySecond(dealtFleet(item, static_cast<std::size_t>(server)), every);
                CHECK_TEXT(most <= item.perSecond * Overage + Slack, item.name);
            }
        }
    }
}

TEST(ColdStartShare, SavedBudgetsExceedTheBoundInLargeFleets)
{
    CHECK(mostInAnySecond(naiveFleet(Cases[2]), 10) > Cases[2].perSecond * Overage + Slack);
    CHECK(mostInAnySecond(naiveFleet(Cases[3]), 10) > Cases[3].perSecond * Overage + Slack);
}

TEST(ColdStartShare, MostOfTheRateIsUsed)
{
    constexpr double usedAtLeast = 0.5;
    for (const Case& item : Cases) {
        int sent = 0;
        const Fleet fleet = dealtFleet(item, 7);
        for (int number = 0; number < Servers; ++number) {
            const BackendServerState server = coldServer("s" + std::to_string(number));
            for (int now = 0; now < SpanMilliseconds; now += 50) {
                for (const auto& keeper : fleet)
                    sent += keeper->send(server, { static_cast<double>(now) }) ? 1 : 0;
            }
        }
        const double borne = item.perSecond * Servers * SpanMilliseconds / SecondMilliseconds;
        CHECK_TEXT(sent >= usedAtLeast * borne, item.name);
    }
}

TEST(ColdStartShare, AFleetOfUnknownSizeSendsNothingToColdServersAndAnythingToWarmOnes)
{
    Random random(1);
    ColdStartShare share;
    share.configure({ .perSecond = 2.5, .instances = std::nullopt });
    BackendServerState server = coldServer("s1");
    CHECK_FALSE(share.allows(server, random, { 10 }));
    server.setColdFor({ 0 }, { 10 });
    CHECK(share.allows(server, random, { 11 }));
}

TEST(ColdStartShare, AServiceWithoutABoundHasNone)
{
    Random random(1);
    ColdStartShare share;
    CHECK(share.allows(coldServer("s1"), random, { 10 }));
}
