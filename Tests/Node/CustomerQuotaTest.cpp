// One customer sends five times its quota while the instance that grants credit
// is killed, suspended, partitioned or loses the store. Checks that over all
// instances no window of five seconds lets through more than the bound, and
// that a second customer, which stays within its quota, is still served.

#include "Tests/Virtual/VirtualFleet.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr std::size_t Servers = 12;
constexpr QuotaBound Bound{};
constexpr double HotLimit = 30;
constexpr double CalmLimit = 16;
constexpr Milliseconds Gap{ 10 };

double maxInWindowFor(double perSecond)
{
    return perSecond * ((Bound.window / Second) + 1) * (1 + Bound.overage) + Bound.slack;
}

class LimitedFleet {
public:
    explicit LimitedFleet(std::size_t instances)
        : fleet({ .instances = instances, .strongInstances = 3 })
    {
        for (std::size_t server = 0; server < Servers; ++server)
            this->fleet.addServer({ .id = "s" + std::to_string(server) });
        this->configuration = virtualConfiguration(this->fleet.serverIds(), 1);
        this->add("hot", HotLimit);
        this->add("calm", CalmLimit);
        this->fleet.configure(this->configuration);
        this->fleet.startAll();
        this->fleet.run({ 8000 });
    }

    /** A customer's normal rate is its limit / 1.6. The hot one sends 8 times that, the calm one exactly that. */
    void load(Milliseconds span)
    {
        const Milliseconds end = this->fleet.now() + span;
        while (this->fleet.now() < end) {
            this->hotDue += HotLimit / 1.6 * 8 * (Gap / Second);
            this->calmDue += CalmLimit / 1.6 * (Gap / Second);
            for (; this->hotDue >= 1; this->hotDue -= 1)
                this->send("hot");
            for (; this->calmDue >= 1; this->calmDue -= 1)
                this->send("calm");
            this->fleet.run(Gap);
        }
    }

    std::size_t grantor()
    {
        for (std::size_t instance = 0; instance < this->fleet.size(); ++instance) {
            if (this->fleet.isAlive(instance)
                && this->fleet.node(instance).grantMode(this->fleet.now()) != GrantMode::None)
                return instance;
        }
        return this->fleet.size();
    }

    /** The highest number of the customer's requests that reached servers within one window. */
    std::size_t maxInWindow(const std::string& customer) const
    {
        std::size_t most = 0;
        std::deque<Milliseconds> window;
        std::set<std::string> counted;
        for (const SentAttempt& attempt : this->fleet.sentAttempts()) {
            if (attempt.customer != customer || !counted.insert(attempt.requestId).second)
                continue;
            window.push_back(attempt.at);
            while (attempt.at - window.front() > Bound.window)
                window.pop_front();
            most = std::max(most, window.size());
        }
        return most;
    }

    /** The share of the customer's requests since this time that were answered. */
    double shareServed(const std::string& customer, Milliseconds since) const
    {
        double sent = 0;
        double served = 0;
        for (const auto& [number, caller] : this->fleet.callers()) {
            if (caller.kind != customer || caller.sentAt < since)
                continue;
            sent += 1;
            served += caller.outcome == CallerOutcome::Answered ? 1 : 0;
        }
        return sent > 0 ? served / sent : 1;
    }

    VirtualFleet fleet;

private:
    void add(const std::string& name, double perSecond)
    {
        v1::Customer* customer = this->configuration.add_customers();
        customer->set_name(name);
        customer->add_key_digests(digestOfKey("key-of-" + name).text());
        customer->set_requests_per_second(static_cast<std::uint32_t>(perSecond));
        customer->set_burst(static_cast<std::uint32_t>(perSecond));
    }

    void send(const std::string& customer)
    {
        VirtualRequest request;
        request.key = "key-of-" + customer;
        request.kind = customer;
        // The platform sends callers to live instances only.
        std::size_t instance = this->random.below(this->fleet.size());
        while (!this->fleet.isAlive(instance))
            instance = (instance + 1) % this->fleet.size();
        this->fleet.send(instance, request);
    }

    v1::Configuration configuration;
    Random random{ 5 };
    double hotDue = 0;
    double calmDue = 0;
};

struct Case {
    const char* name;
    std::function<void(LimitedFleet&)> fault;
    std::function<void(LimitedFleet&)> heal;
    double minShareDuringFault; // minimum share of the calm customer's requests answered in the 6 s after the fault
};

void forEachInstance(LimitedFleet& limited, const std::function<void(std::size_t)>& each)
{
    for (std::size_t instance = 0; instance < limited.fleet.size(); ++instance)
        each(instance);
}

std::size_t struck = 0;

const std::vector<Case> Cases{
    { "nothing", [](LimitedFleet&) {}, [](LimitedFleet&) {}, 0.99 },
    { "the granting instance is killed", [](LimitedFleet& limited) { limited.fleet.kill(struck); },
        [](LimitedFleet& limited) { limited.fleet.start(struck); }, 0.25 },
    { "it is killed and restarts at once",
        [](LimitedFleet& limited) {
            limited.fleet.kill(struck);
            limited.fleet.start(struck);
        },
        [](LimitedFleet&) {}, 0.6 },
    { "it shuts down gracefully",
        [](LimitedFleet& limited) {
            limited.fleet.askToStop(struck);
            limited.fleet.run({ 2500 });
            limited.fleet.kill(struck);
        },
        [](LimitedFleet& limited) { limited.fleet.start(struck); }, 0.8 },
    { "it is suspended", [](LimitedFleet& limited) { limited.fleet.freeze(struck); },
        [](LimitedFleet& limited) { limited.fleet.wake(struck); }, 0.25 },
    { "it is partitioned from the others", [](LimitedFleet& limited) { limited.fleet.cutFromPeers(struck, true); },
        [](LimitedFleet& limited) { limited.fleet.cutFromPeers(struck, false); }, 0.25 },
    { "the store rejects it",
        [](LimitedFleet& limited) {
            limited.fleet.theStore().setTurnedAway("entry-" + std::to_string(struck + 1), true);
        },
        [](LimitedFleet& limited) {
            limited.fleet.theStore().setTurnedAway("entry-" + std::to_string(struck + 1), false);
        },
        0.75 }, // half of the limit is granted, which is 0.8 of the customer's normal rate
    { "the store is silent", [](LimitedFleet& limited) { limited.fleet.theStore().setFault(StoreFault::Silent); },
        [](LimitedFleet& limited) { limited.fleet.theStore().setFault(StoreFault::None); }, 0.75 },
    { "half of the instances are partitioned from all others",
        [](LimitedFleet& limited) {
            forEachInstance(
                limited, [&](std::size_t instance) { limited.fleet.cutFromPeers(instance, instance % 2 != 0); });
        },
        [](LimitedFleet& limited) {
            forEachInstance(limited, [&](std::size_t instance) { limited.fleet.cutFromPeers(instance, false); });
        },
        0 }, // partitioned instances cannot reach the granting one
    { "all are killed and restart",
        [](LimitedFleet& limited) {
            forEachInstance(limited, [&](std::size_t instance) { limited.fleet.kill(instance); });
            limited.fleet.run({ 300 });
            forEachInstance(limited, [&](std::size_t instance) { limited.fleet.start(instance); });
        },
        [](LimitedFleet&) {}, 0.4 },
};

}

TEST_GROUP(CustomerQuota){};

TEST(CustomerQuota, HoldsOverAllInstancesWhateverBecomesOfTheGrantingOne)
{
    for (const std::size_t instances : { 3, 12 }) {
        for (const Case& item : Cases) {
            LimitedFleet limited(instances);
            const std::string name = std::string(item.name) + ", " + std::to_string(instances) + " instances";
            limited.load({ 6000 });
            struck = limited.grantor();
            CHECK_TEXT(struck < instances, name.c_str());
            const double before = limited.shareServed("calm", { 0 });
            CHECK_TEXT(before >= 0.98, (name + ", share at first " + std::to_string(before)).c_str());
            const Milliseconds begun = limited.fleet.now();
            item.fault(limited);
            limited.load({ 6000 });
            const double meanwhile = limited.shareServed("calm", begun);
            CHECK_TEXT(meanwhile >= item.minShareDuringFault, (name + ", share " + std::to_string(meanwhile)).c_str());
            item.heal(limited);
            limited.load({ 16000 });
            const Milliseconds later = limited.fleet.now();
            limited.load({ 4000 });
            limited.fleet.run({ 2500 });
            const double after = limited.shareServed("calm", later);
            CHECK_TEXT(after >= 0.97, (name + ", share at last " + std::to_string(after)).c_str());
            const std::size_t hot = limited.maxInWindow("hot");
            CHECK_TEXT(static_cast<double>(hot) <= maxInWindowFor(HotLimit),
                (name + ", window " + std::to_string(hot)).c_str());
            CHECK_TEXT(static_cast<double>(limited.maxInWindow("calm")) <= maxInWindowFor(CalmLimit), name.c_str());
        }
    }
}

TEST(CustomerQuota, AStoreWithoutLimitedCustomersIsNotWrittenTo)
{
    VirtualFleet fleet({ .instances = 6 });
    fleet.addServer({ .id = "s1" });
    v1::Configuration configuration = virtualConfiguration(fleet.serverIds(), 1);
    configuration.add_customers()->set_name("free");
    fleet.configure(configuration);
    fleet.startAll();
    fleet.run({ 10000 });
    LONGS_EQUAL(0, fleet.theStore().callsOf(StoreOperation::Write));
}
