// Rolls out a new version of a service under load, while the instance that
// writes the roll-out state is killed, suspended, partitioned or loses the
// store. A good version must be completed in time, with no requests sent to the
// old servers afterwards; a bad one must be rolled back after few requests.

#include "Tests/Virtual/VirtualFleet.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr Milliseconds Duration{ 12000 };
constexpr Milliseconds Gap{ 5 };
constexpr std::size_t OldServers = 12;
constexpr std::size_t NewServers = 12;
/** Upper bound of the requests that a bad version may get: this share of all requests plus a constant. */
constexpr double ExposureShare = 0.1;
constexpr double ExposureSlack = 50;

bool isNew(const std::string& backendServer)
{
    return backendServer.find("/n") != std::string::npos;
}

class RolledFleet {
public:
    explicit RolledFleet(std::size_t instances)
        : fleet({ .instances = instances, .strongInstances = 3 })
    {
        for (std::size_t server = 0; server < OldServers; ++server)
            this->fleet.addServer({ .id = "o" + std::to_string(server) });
        for (std::size_t server = 0; server < NewServers; ++server)
            this->fleet.addServer({ .id = "n" + std::to_string(server) });
        this->fleet.configure(this->configuration(false));
        this->fleet.startAll();
        this->fleet.run({ 4000 });
    }

    void order()
    {
        this->orderedAt = this->fleet.now();
        this->fleet.configure(this->configuration(true));
    }

    void load(Milliseconds span)
    {
        const Milliseconds end = this->fleet.now() + span;
        while (this->fleet.now() < end) {
            std::size_t instance = this->turn++ % this->fleet.size();
            while (!this->fleet.isAlive(instance))
                instance = (instance + 1) % this->fleet.size();
            VirtualRequest request;
            request.path = this->turn % 4 ? "/a" : "/reports/a";
            this->fleet.send(instance, request);
            this->fleet.run(Gap);
        }
    }

    std::string state()
    {
        for (std::size_t instance = 0; instance < this->fleet.size(); ++instance) {
            if (this->fleet.isAlive(instance))
                return this->fleet.node(instance).showRollout("bookings", this->fleet.now()).state();
        }
        return {};
    }

    void breakNew(ServerFault fault)
    {
        for (std::size_t server = 0; server < NewServers; ++server)
            this->fleet.server("n" + std::to_string(server)).setFault(fault);
    }

    /** The first live instance that watches the store; it is taken for the leading watcher, which writes the state. */
    std::size_t writer()
    {
        for (std::size_t instance = 0; instance < this->fleet.size(); ++instance) {
            if (this->fleet.isAlive(instance) && this->fleet.node(instance).isWatching())
                return instance;
        }
        return 0;
    }

    std::size_t sentToNew(Milliseconds from) const { return this->sent(true, from); }
    std::size_t sentToOld(Milliseconds from) const { return this->sent(false, from); }
    /** By how much the requests sent to the new version since the order exceed the bound. */
    double excess() const
    {
        const auto all = static_cast<double>(this->sentToNew(this->orderedAt) + this->sentToOld(this->orderedAt));
        return static_cast<double>(this->sentToNew(this->orderedAt)) - ExposureShare * all - ExposureSlack;
    }

    VirtualFleet fleet;
    Milliseconds orderedAt;

private:
    std::size_t sent(bool toNew, Milliseconds from) const
    {
        const auto& attempts = this->fleet.sentAttempts();
        return static_cast<std::size_t>(std::count_if(attempts.begin(), attempts.end(),
            [&](const SentAttempt& attempt) { return isNew(attempt.backendServer) == toNew && attempt.at > from; }));
    }

    v1::Configuration configuration(bool isOrdered)
    {
        v1::Configuration made = virtualConfiguration(this->fleet.serverIds(), ++this->revision);
        v1::Service* service = made.mutable_services(0);
        for (v1::BackendServer& server : *service->mutable_backend_servers())
            server.set_version(server.name().front() == 'n' ? "v2" : "v1");
        v1::RequestRule* rule = service->add_rules();
        rule->set_path_prefix("/reports/");
        rule->set_repeat(v1::MAY_REPEAT);
        // The new version's servers exist only after the roll-out has been ordered.
        auto& servers = *service->mutable_backend_servers();
        if (!isOrdered) {
            servers.erase(std::remove_if(servers.begin(), servers.end(),
                              [](const v1::BackendServer& server) { return server.version() == "v2"; }),
                servers.end());
            return made;
        }
        v1::Rollout* rollout = made.add_rollouts();
        rollout->set_service("bookings");
        rollout->set_new_version("v2");
        rollout->set_duration_milliseconds(static_cast<std::uint32_t>(Duration.count));
        rollout->set_begun_at_revision(this->revision);
        return made;
    }

    std::uint32_t revision = 0;
    std::size_t turn = 0;
};

/** A fault during the roll-out. */
struct Case {
    const char* name;
    std::function<void(RolledFleet&)> fault; // called after a quarter of the duration
    std::function<void(RolledFleet&)> heal; // called after half of the duration
};

std::size_t struck = 0;

const std::vector<Case> Cases{
    { "nothing", [](RolledFleet&) {}, [](RolledFleet&) {} },
    { "the writer is killed",
        [](RolledFleet& rolled) {
            struck = rolled.writer();
            rolled.fleet.kill(struck);
        },
        [](RolledFleet& rolled) { rolled.fleet.start(struck); } },
    { "the writer is suspended",
        [](RolledFleet& rolled) {
            struck = rolled.writer();
            rolled.fleet.freeze(struck);
        },
        [](RolledFleet& rolled) { rolled.fleet.wake(struck); } },
    { "the writer is partitioned from the others",
        [](RolledFleet& rolled) {
            struck = rolled.writer();
            rolled.fleet.cutFromPeers(struck, true);
        },
        [](RolledFleet& rolled) { rolled.fleet.cutFromPeers(struck, false); } },
    { "the store rejects the writer",
        [](RolledFleet& rolled) {
            struck = rolled.writer();
            rolled.fleet.theStore().setTurnedAway("entry-" + std::to_string(struck + 1), true);
        },
        [](RolledFleet& rolled) {
            rolled.fleet.theStore().setTurnedAway("entry-" + std::to_string(struck + 1), false);
        } },
    { "the store is silent", [](RolledFleet& rolled) { rolled.fleet.theStore().setFault(StoreFault::Silent); },
        [](RolledFleet& rolled) { rolled.fleet.theStore().setFault(StoreFault::None); } },
    { "the store loses answers",
        [](RolledFleet& rolled) { rolled.fleet.theStore().setFault(StoreFault::LosesAnswers); },
        [](RolledFleet& rolled) { rolled.fleet.theStore().setFault(StoreFault::None); } },
    { "all instances restart",
        [](RolledFleet& rolled) {
            for (std::size_t instance = 0; instance < rolled.fleet.size(); ++instance)
                rolled.fleet.kill(instance);
            for (std::size_t instance = 0; instance < rolled.fleet.size(); ++instance)
                rolled.fleet.start(instance);
        },
        [](RolledFleet&) {} },
};

}

TEST_GROUP(Rollout){};

TEST(Rollout, AGoodVersionTakesOverInTimeAndNothingIsLeftAtTheOldOne)
{
    for (const std::size_t instances : { 3, 10 }) {
        for (const Case& item : Cases) {
            RolledFleet rolled(instances);
            const std::string name = std::string(item.name) + ", " + std::to_string(instances) + " instances";
            rolled.load({ 1000 });
            rolled.order();
            rolled.load(Duration * 0.25);
            item.fault(rolled);
            rolled.load(Duration * 0.25);
            item.heal(rolled);
            Milliseconds doneAt = Never;
            while (rolled.fleet.now() < rolled.orderedAt + Duration * 1.5 && doneAt == Never) {
                rolled.load({ 100 });
                if (rolled.state() == "completed")
                    doneAt = rolled.fleet.now();
            }
            const std::string text = name + ", done after " + std::to_string((doneAt - rolled.orderedAt).count);
            CHECK_TEXT(doneAt <= rolled.orderedAt + Duration, text.c_str());
            // After completion the old servers are stopped.
            rolled.load({ 2000 });
            LONGS_EQUAL_TEXT(0, rolled.sentToOld(doneAt), name.c_str());
            for (std::size_t server = 0; server < OldServers; ++server)
                rolled.fleet.server("o" + std::to_string(server)).setFault(ServerFault::Dead);
            rolled.fleet.run({ 3000 });
            std::size_t lost = 0;
            for (const auto& [number, caller] : rolled.fleet.callers())
                lost += caller.sentAt > doneAt && caller.outcome != CallerOutcome::Answered ? 1 : 0;
            LONGS_EQUAL_TEXT(0, lost, name.c_str());
        }
    }
}

TEST(Rollout, ABadVersionIsTakenBackBeforeManyRequestsHaveMetIt)
{
    struct Bad {
        const char* name;
        ServerFault fault;
        double from; // time from which the version is bad, as a fraction of the duration
    };
    const std::vector<Bad> bads{ { "fails", ServerFault::Fails, 0 }, { "loses answers", ServerFault::LosesAnswers, 0 },
        { "is slow", ServerFault::Slow, 0 }, { "fails later", ServerFault::Fails, 0.4 },
        { "fails once it has most of the load", ServerFault::Fails, 0.65 } };
    for (const std::size_t instances : { 3, 10 }) {
        for (const Case& item : Cases) {
            for (const Bad& bad : bads) {
                RolledFleet rolled(instances);
                const std::string name
                    = std::string(bad.name) + ", " + item.name + ", " + std::to_string(instances) + " instances";
                rolled.load({ 1000 });
                if (bad.from == 0)
                    rolled.breakNew(bad.fault);
                rolled.order();
                rolled.load(Duration * 0.25);
                item.fault(rolled);
                rolled.load(Duration * 0.15);
                if (bad.from > 0 && bad.from < 0.5)
                    rolled.breakNew(bad.fault);
                rolled.load(Duration * 0.1);
                item.heal(rolled);
                rolled.load(Duration * 0.15);
                if (bad.from > 0.5)
                    rolled.breakNew(bad.fault);
                rolled.load(Duration * 0.35);
                CHECK_TEXT(rolled.state() == "rolled_back", (name + ", " + rolled.state()).c_str());
                CHECK_TEXT(rolled.excess() <= 0, (name + ", too many " + std::to_string(rolled.excess())).c_str());
                const Milliseconds later = rolled.fleet.now();
                rolled.load({ 1000 });
                LONGS_EQUAL_TEXT(0, rolled.sentToNew(later), name.c_str());
            }
        }
    }
}

TEST(Rollout, BeforeTheStateIsKnownAndAfterItWasTakenBackTheNewVersionGetsNothing)
{
    RolledFleet rolled(4);
    rolled.fleet.theStore().setFault(StoreFault::None);
    rolled.load({ 500 });
    rolled.breakNew(ServerFault::Fails);
    rolled.order();
    rolled.load(Duration);
    STRCMP_EQUAL("rolled_back", rolled.state().c_str());
    // A restarted instance must read the state from the store.
    rolled.fleet.kill(2);
    rolled.fleet.start(2);
    const Milliseconds from = rolled.fleet.now();
    rolled.load({ 3000 });
    LONGS_EQUAL(0, rolled.sentToNew(from));
}
