// Requests without a key, with an unknown key, and with a key that is revoked
// while the request is queued or while the store rejects the instance.

#include "Tests/Virtual/VirtualFleet.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr std::size_t Instances = 4;
/** Time for a gossip update to reach all instances, including a round trip. */
constexpr Milliseconds GossipRound{ 60 };

v1::Customer customerWith(const std::string& name, const std::vector<std::string>& keys)
{
    v1::Customer customer;
    customer.set_name(name);
    for (const std::string& key : keys)
        customer.add_key_digests(digestOfKey(key).text());
    return customer;
}

class KeyedFleet {
public:
    explicit KeyedFleet(Milliseconds work)
        : fleet({ .instances = Instances })
    {
        for (const char* id : { "s1", "s2", "s3" })
            this->fleet.addServer({ .id = id, .work = work });
        this->write({ customerWith("acme", { "alpha", "alpha-2" }), customerWith("other", { "beta" }) });
        this->fleet.startAll();
        this->fleet.run({ 2000 });
    }

    void write(const std::vector<v1::Customer>& customers)
    {
        v1::Configuration configuration = virtualConfiguration(this->fleet.serverIds(), ++this->revision);
        v1::RequestRule* rule = configuration.mutable_services(0)->add_rules();
        rule->set_path_prefix("/public/");
        rule->set_repeat(v1::MAY_REPEAT);
        rule->set_without_key(true);
        for (const v1::Customer& customer : customers)
            *configuration.add_customers() = customer;
        this->fleet.configure(configuration);
    }

    const VirtualCaller& call(const std::string& key, const std::string& path = "/a", std::size_t instance = 0)
    {
        VirtualRequest request;
        request.key = key;
        request.path = path;
        const std::uint64_t number = this->fleet.send(instance, request);
        this->fleet.run({ 300 });
        return this->fleet.callers().at(number);
    }

    std::string customerOf(const VirtualCaller& caller) const
    {
        const auto& sent = this->fleet.sentAttempts();
        const auto found = std::find_if(sent.begin(), sent.end(),
            [&](const SentAttempt& attempt) { return attempt.requestId == caller.requestId; });
        return found == sent.end() ? "not sent" : found->customer;
    }

    VirtualFleet fleet;

private:
    std::uint32_t revision = 0;
};

}

TEST_GROUP(CustomerKeys){};

TEST(CustomerKeys, OnlyRequestsOfCustomersAndOnPublicRoutesAreSent)
{
    struct Case {
        const char* key;
        const char* path;
        CallerOutcome outcome;
        RefusalReason reason;
        const char* customer;
    };
    const std::vector<Case> cases{
        { "alpha", "/a", CallerOutcome::Answered, {}, "acme" },
        { "alpha-2", "/a", CallerOutcome::Answered, {}, "acme" },
        { "beta", "/a", CallerOutcome::Answered, {}, "other" },
        { "", "/a", CallerOutcome::NotRun, RefusalReason::KeyMissing, "not sent" },
        { "gamma", "/a", CallerOutcome::NotRun, RefusalReason::KeyUnknown, "not sent" },
        { "", "/public/a", CallerOutcome::Answered, {}, "" },
        { "gamma", "/public/a", CallerOutcome::Answered, {}, "" },
        { "beta", "/public/a", CallerOutcome::Answered, {}, "other" },
    };
    KeyedFleet keyed({ 20 });
    for (const Case& item : cases) {
        const std::string text = std::string(item.key) + " " + item.path;
        const VirtualCaller& caller = keyed.call(item.key, item.path);
        CHECK_TEXT(caller.outcome == item.outcome, text.c_str());
        if (item.outcome == CallerOutcome::NotRun)
            CHECK_TEXT(caller.reason == item.reason, text.c_str());
        STRCMP_EQUAL_TEXT(item.customer, keyed.customerOf(caller).c_str(), text.c_str());
    }
}

TEST(CustomerKeys, AKeyThatIsTakenAwayCountsAtAllInstancesWithinARoundOfNews)
{
    struct Case {
        const char* name;
        std::function<void(VirtualFleet&)> before;
        Milliseconds bound;
    };
    const std::vector<Case> cases{
        { "no fault", [](VirtualFleet&) {}, GossipRound },
        { "the store rejects an instance", [](VirtualFleet& fleet) { fleet.theStore().setTurnedAway("entry-4", true); },
            GossipRound },
        { "an instance is partitioned from the others", [](VirtualFleet& fleet) { fleet.cutFromPeers(3, true); },
            { 2500 } },
    };
    for (const Case& item : cases) {
        KeyedFleet keyed({ 20 });
        item.before(keyed.fleet);
        keyed.write({ customerWith("acme", { "alpha-2" }), customerWith("other", { "beta" }) });
        keyed.fleet.run(item.bound);
        for (std::size_t instance = 0; instance < Instances; ++instance) {
            CHECK_TEXT(keyed.call("alpha", "/a", instance).reason == RefusalReason::KeyUnknown, item.name);
            CHECK_TEXT(keyed.call("alpha-2", "/a", instance).outcome == CallerOutcome::Answered, item.name);
        }
    }
}

TEST(CustomerKeys, ARequestThatWaitsIsNotSentOnceItsKeyIsTakenAway)
{
    KeyedFleet keyed({ 900 });
    VirtualRequest request;
    request.key = "alpha";
    constexpr std::size_t requests = 60;
    std::vector<std::uint64_t> numbers;
    numbers.reserve(requests);
    for (std::size_t count = 0; count < requests; ++count)
        numbers.push_back(keyed.fleet.send(0, request));
    keyed.fleet.run({ 100 });
    keyed.write({ customerWith("other", { "beta" }) });
    keyed.fleet.run(GossipRound);
    const std::size_t sentBefore = keyed.fleet.sentAttempts().size();
    keyed.fleet.run({ 3000 });
    LONGS_EQUAL(sentBefore, keyed.fleet.sentAttempts().size());
    std::size_t refused = 0;
    for (const std::uint64_t number : numbers)
        refused += keyed.fleet.callers().at(number).reason == RefusalReason::KeyUnknown ? 1 : 0;
    CHECK(refused > 0);
}

TEST(CustomerKeys, WhereThereAreNoCustomersNoKeyIsNeeded)
{
    KeyedFleet keyed({ 20 });
    keyed.write({});
    keyed.fleet.run(GossipRound);
    for (const char* key : { "", "alpha", "gamma" })
        CHECK(keyed.call(key).outcome == CallerOutcome::Answered);
}
