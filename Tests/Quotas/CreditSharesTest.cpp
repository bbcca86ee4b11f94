// Guards against two instances that grant credit from the same share at the same time, which would let more than a
// customer's limit through, and against shares that stay without a holder that grants. Several instances take over from
// each other through the store alone, while some are killed, suspended, restarted or cut off from the store, or writes
// are answered late. In each step the tests count the instances that grant from each share.

#include "Quotas/CreditShares.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr Milliseconds Step{ 10 };
constexpr Milliseconds WatchWait{ 1200 };
/** As MemberTable forgets an instance. */
constexpr Milliseconds MemberLife{ 4000 };
/** Until the shares of a lost holder are granted again: 15 s until it counts as lost, then 11 s of waiting. */
constexpr Milliseconds Replacement{ 27500 };

using Items = std::map<std::string, StoreItem>;

/** An instance with its copy of the stored items. */
struct Instance {
    peers::Member self;
    StoreCallNumbers numbers;
    Random random{ 7 };
    std::unique_ptr<CreditShares> shares;
    Milliseconds watchedAt = LongAgo;
    bool hasView = false;
    bool leads = false;
    bool isSuspended = false;
    bool reachesStore = true;
    bool isCutOff = false; // from all other instances
    bool isNeeded = true;
    std::map<StoreCallNumber, std::pair<StoreRequest, Milliseconds>> pendingWrites; // with the time of their effect

    void start(std::size_t index, std::uint64_t life)
    {
        this->self.mutable_incarnation()->set_name("entry-" + std::to_string(index));
        this->self.mutable_incarnation()->set_number(life);
        this->self.set_address("10.0.0.1");
        this->self.set_port(static_cast<std::uint32_t>(7000 + index));
        this->self.set_data_centre("dc-" + std::to_string(index % 3));
        this->shares = std::make_unique<CreditShares>(
            CreditShares::Options{ .lease = { .self = this->self }, .assigner = { .self = this->self } }, this->numbers,
            this->random);
        this->watchedAt = LongAgo;
        this->hasView = false;
        this->isSuspended = false;
        this->pendingWrites.clear();
    }
};

/** Simulates several instances and a store in fixed time steps. */
class ShareSimulation {
public:
    explicit ShareSimulation(std::size_t count)
        : instances(count)
    {
        for (std::size_t index = 0; index < count; ++index)
            this->restart(index);
        this->lead(0);
    }

    Instance& at(std::size_t index) { return this->instances[index]; }
    std::size_t size() const { return this->instances.size(); }
    void restart(std::size_t index) { this->instances[index].start(index, ++this->lives[index]); }
    void lead(std::size_t leader)
    {
        for (std::size_t index = 0; index < this->instances.size(); ++index)
            this->instances[index].leads = index == leader;
    }
    void put(const std::string& key, const std::string& value)
    {
        this->stored[key] = StoreItem{ .key = key, .value = value, .revision = ++this->revision, .removed = false };
        this->deliver(this->stored[key]);
    }
    void run(Milliseconds span)
    {
        const Milliseconds end = this->now + span;
        for (; this->now < end; this->now = this->now + Step) {
            for (Instance& each : this->instances) {
                if (each.shares && !each.isSuspended)
                    this->runInstance(each);
            }
            this->most = std::max(this->most, this->mostOfOneShare());
        }
    }
    /** The number of shares from which an instance grants. */
    std::size_t granted()
    {
        std::size_t count = 0;
        for (const Instance& each : this->instances)
            count += each.shares && !each.isSuspended ? each.shares->countGranting(this->now) : 0;
        return count;
    }
    bool isWaiting(std::size_t index)
    {
        const auto leases = this->instances[index].shares->leases();
        return std::any_of(
            leases.begin(), leases.end(), [](const CreditShareLease& lease) { return lease.waitsUntil() != Never; });
    }
    std::size_t grantedBy(std::size_t index) { return this->instances[index].shares->countGranting(this->now); }

    /** How long after its sending each write takes effect and is answered. */
    Milliseconds writeDelay{ 10 };
    bool loseAnswers = false;
    std::size_t calls = 0; // to the store, watches aside
    std::size_t most = 0; // instances that granted from the same share at the same time

private:
    std::size_t mostOfOneShare()
    {
        std::array<std::size_t, CreditShareCount> counts{};
        for (const Instance& each : this->instances) {
            // A suspended instance grants nothing until it runs again.
            if (!each.shares || each.isSuspended)
                continue;
            for (std::size_t share = 0; share < CreditShareCount; ++share)
                counts.at(share) += each.shares->leases()[share].isGranting(this->now) ? 1 : 0;
        }
        return *std::max_element(counts.begin(), counts.end());
    }
    std::vector<KnownMember> membersFor(Instance& each)
    {
        std::vector<KnownMember> members;
        for (Instance& other : this->instances) {
            if (&other == &each || each.isCutOff || other.isCutOff)
                continue;
            if (other.shares && !other.isSuspended)
                this->heard[&other]
                    = { .member = other.self, .revision = other.hasView ? 1U : 0U, .heardAt = this->now };
            const auto known = this->heard.find(&other);
            if (known != this->heard.end() && this->now - known->second.heardAt < MemberLife)
                members.push_back(known->second);
        }
        return members;
    }
    void runInstance(Instance& each)
    {
        if (each.reachesStore && this->now - each.watchedAt >= WatchWait)
            this->watch(each);
        while (!each.pendingWrites.empty() && this->now >= each.pendingWrites.begin()->second.second) {
            const StoreRequest request = each.pendingWrites.begin()->second.first;
            each.pendingWrites.erase(each.pendingWrites.begin());
            this->finishWrite(each, request);
        }
        const std::vector<KnownMember> members = this->membersFor(each);
        while (auto call = each.shares->next(
                   { .isNeeded = each.isNeeded,
                       .hasView = each.hasView,
                       .instances = members.size() + 1,
                       .fleet = { .leads = each.leads, .fleetAtLeast = this->instances.size(), .members = members } },
                   this->now)) {
            ++this->calls;
            if (call->operation == StoreOperation::ReadRange)
                this->answerRead(each, *call);
            else
                each.pendingWrites[call->number] = { *call, this->now + this->writeDelay };
        }
    }
    /** A watch without changes ends and the next one begins; finishWrite() delivers changes at once. */
    void watch(Instance& each)
    {
        each.watchedAt = this->now;
        each.hasView = true;
        for (const auto& [key, item] : this->stored)
            each.shares->itemChanged(item, this->now);
    }
    void deliver(const StoreItem& item)
    {
        for (Instance& other : this->instances) {
            if (other.reachesStore && !other.isSuspended && other.shares && other.hasView)
                other.shares->itemChanged(item, this->now);
        }
    }
    void answerRead(Instance& each, const StoreRequest& request)
    {
        StoreAnswer answer;
        answer.number = request.number;
        if (each.reachesStore) {
            answer.status = StoreStatus::Done;
            for (const auto& [key, item] : this->stored) {
                if (key.starts_with(request.key))
                    answer.items.push_back(item);
            }
        }
        each.shares->answered(answer, this->now);
    }
    void finishWrite(Instance& each, const StoreRequest& request)
    {
        StoreAnswer answer;
        answer.number = request.number;
        const auto found = this->stored.find(request.key);
        const StoreRevision present = found == this->stored.end() ? 0 : found->second.revision;
        if (each.reachesStore && present == request.expected) {
            this->put(request.key, request.value);
            answer.status = this->loseAnswers ? StoreStatus::Unknown : StoreStatus::Done;
            answer.at = this->revision;
        } else
            answer.status = each.reachesStore ? StoreStatus::Conflict : StoreStatus::Unknown;
        each.shares->answered(answer, this->now);
        while (auto written = each.shares->takeWritten())
            each.shares->itemChanged(*written, this->now);
    }

    std::vector<Instance> instances;
    std::map<std::size_t, std::uint64_t> lives;
    std::map<Instance*, KnownMember> heard; // the last message of each instance
    Items stored;
    StoreRevision revision = 0;
    Milliseconds now{ 1000 };
};

struct Case {
    const char* name;
    std::function<void(ShareSimulation&)> injectFault;
    Milliseconds recoveryTime; // after this, at least `least` shares are granted
    std::size_t least = CreditShareCount;
};

const std::vector<Case> Cases{
    { "nothing", [](ShareSimulation&) {}, { 0 } },
    { "another instance leads", [](ShareSimulation& all) { all.lead(1); }, { 0 } },
    { "a holder is killed, at first",
        [](ShareSimulation& all) {
            all.at(0).shares.reset();
            all.lead(1);
        },
        { 0 }, 5 },
    { "a holder is killed, after the successor's wait",
        [](ShareSimulation& all) {
            all.at(0).shares.reset();
            all.lead(1);
        },
        Replacement },
    { "a holder is killed and restarted", [](ShareSimulation& all) { all.restart(0); }, { 100 } },
    { "a holder is killed and restarted, and another instance leads",
        [](ShareSimulation& all) {
            all.restart(0);
            all.lead(1);
        },
        { 100 } },
    { "a holder is suspended",
        [](ShareSimulation& all) {
            all.at(0).isSuspended = true;
            all.lead(1);
        },
        Replacement },
    { "a holder releases its shares and ends",
        [](ShareSimulation& all) {
            all.at(1).isNeeded = false;
            all.run({ 300 });
            all.at(1).shares.reset();
            all.at(1).isNeeded = true;
        },
        { 100 } },
    { "the leading instance loses the store, and another one leads too",
        [](ShareSimulation& all) {
            all.at(0).reachesStore = false;
            all.at(1).leads = true;
        },
        { 7500 } },
    { "a holder is cut off from all others", [](ShareSimulation& all) { all.at(2).isCutOff = true; }, { 8000 } },
    { "two instances lead without knowing of each other",
        [](ShareSimulation& all) {
            all.at(1).leads = true;
            all.at(1).isCutOff = true;
        },
        { 1000 } },
    { "all are killed and restarted",
        [](ShareSimulation& all) {
            for (std::size_t index = 0; index < all.size(); ++index)
                all.restart(index);
        },
        { 100 } },
    { "a holder is suspended, and its successor is restarted while it waits",
        [](ShareSimulation& all) {
            all.at(2).isSuspended = true;
            all.run({ 17000 });
            all.restart(0);
            all.restart(1);
            all.run({ 100 });
            all.at(2).isSuspended = false;
        },
        Replacement + Milliseconds{ 5000 } },
    { "a holder loses the store before it is replaced, and its successor stops while it waits",
        [](ShareSimulation& all) {
            all.at(2).isCutOff = true;
            all.run({ 14800 });
            all.at(2).reachesStore = false;
            all.run({ 700 });
            for (std::size_t index = 0; index < all.size(); ++index)
                all.at(index).isNeeded = all.at(index).isNeeded && !all.isWaiting(index);
            all.run({ 500 });
        },
        Replacement + Milliseconds{ 5000 }, 0 },
    { "no instance reaches the store for 7.5 s",
        [](ShareSimulation& all) {
            for (std::size_t index = 0; index < all.size(); ++index)
                all.at(index).reachesStore = false;
        },
        { 7500 } },
    { "answers of the store are lost, and a holder is restarted",
        [](ShareSimulation& all) {
            all.loseAnswers = true;
            all.restart(1);
        },
        { 1000 } },
    { "writes take effect seconds later, and a holder is restarted",
        [](ShareSimulation& all) {
            all.writeDelay = { 1400 };
            all.restart(1);
        },
        { 3000 } },
};

}

TEST_GROUP(CreditShares){};

TEST(CreditShares, AShareIsNeverGrantedByTwoInstances)
{
    for (const std::size_t instances : { 3, 12 }) {
        for (const Case& item : Cases) {
            ShareSimulation all(instances);
            const std::string name = std::string(item.name) + ", " + std::to_string(instances) + " instances";
            all.run({ 5000 });
            LONGS_EQUAL_TEXT(CreditShareCount, all.granted(), name.c_str());
            item.injectFault(all);
            all.run(item.recoveryTime);
            CHECK_TEXT(all.granted() >= item.least, (name + ", granted " + std::to_string(all.granted())).c_str());
            all.run({ 8000 });
            // All faults end.
            for (std::size_t index = 0; index < instances; ++index) {
                all.at(index).isSuspended = false;
                all.at(index).reachesStore = true;
                all.at(index).isCutOff = false;
                all.at(index).isNeeded = true;
                if (!all.at(index).shares)
                    all.restart(index);
            }
            all.lead(0);
            all.loseAnswers = false;
            all.writeDelay = { 10 };
            all.run({ 40000 });
            LONGS_EQUAL_TEXT(1, all.most, name.c_str());
            LONGS_EQUAL_TEXT(CreditShareCount, all.granted(), name.c_str());
        }
    }
}

TEST(CreditShares, SharesAreSpreadOverInstancesAndDataCentres)
{
    for (const std::size_t instances : { 1, 3, 5, 12 }) {
        ShareSimulation all(instances);
        all.run({ 5000 });
        std::map<std::string, std::size_t> perDataCentre;
        for (std::size_t index = 0; index < instances; ++index) {
            CHECK(all.grantedBy(index) <= CreditShareAssigner::mostShares(instances));
            perDataCentre[all.at(index).self.data_centre()] += all.grantedBy(index);
        }
        LONGS_EQUAL(CreditShareCount, all.granted());
        for (const auto& [dataCentre, shares] : perDataCentre)
            CHECK(instances < 3 || shares <= 4);
    }
}

// A fleet of one instance holds all shares. When others join, the loss of the first one must not cost the whole limit.
TEST(CreditShares, AnInstanceWithTooManySharesReleasesThem)
{
    ShareSimulation all(3);
    all.at(1).shares.reset();
    all.at(2).shares.reset();
    all.run({ 10000 });
    LONGS_EQUAL(CreditShareCount, all.grantedBy(0));
    all.restart(1);
    all.restart(2);
    all.run({ 80000 });
    CHECK(all.grantedBy(0) <= 3);
    LONGS_EQUAL(CreditShareCount, all.granted());
    LONGS_EQUAL(1, all.most);
}

// During an upgrade the holder named by an instance of the earlier version grants the whole quota: no share may be
// granted beside it, nor before its lease has certainly ended.
TEST(CreditShares, AHolderOfAnEarlierVersionGrantsAlone)
{
    ShareSimulation all(3);
    peers::CreditGrantor grantor;
    *grantor.mutable_member() = all.at(2).self;
    grantor.mutable_member()->mutable_incarnation()->set_name("entry-2");
    all.put(GrantorKey, encodeGrantor(grantor));
    all.run({ 20000 });
    LONGS_EQUAL(0, all.granted());
    all.at(2).shares.reset();
    all.run({ 11000 });
    LONGS_EQUAL(0, all.granted());
    all.run({ 4000 });
    LONGS_EQUAL(CreditShareCount, all.granted());
}

TEST(CreditShares, WritesNothingWhenNoCreditIsNeeded)
{
    ShareSimulation all(1);
    all.at(0).isNeeded = false;
    all.run({ 20000 });
    LONGS_EQUAL(0, all.granted());
    LONGS_EQUAL(0, all.calls);
}

// Guards against work that grows with the square of the fleet: the leading watcher hears from each instance and
// searched all known ones at each message, also where no customer has a limit. At 984 instances this took more than a
// processor.
TEST(CreditShares, TheLeaderSearchesTheFleetAFewTimesASecond)
{
    struct Load {
        const char* name;
        bool isNeeded;
        bool leads;
        std::uint64_t mostChecks; // in a second
    };
    const std::vector<Load> table{
        { "no customer has a limit", false, true, 0 },
        { "a customer has a limit", true, true, 13 }, // each of eight writes may be followed by a further one
        { "another instance leads", true, false, 0 },
    };
    constexpr std::size_t fleet = 984;
    for (const Load& item : table) {
        Instance leader;
        leader.start(0, 1);
        std::vector<KnownMember> members;
        for (std::size_t index = 1; index < fleet; ++index) {
            Instance other;
            other.start(index, 1);
            members.push_back({ .member = other.self, .revision = 1, .heardAt = { 0 } });
        }
        for (double at = 0; at < 1000; at += 1) {
            const CreditShares::Inputs inputs{ .isNeeded = item.isNeeded,
                .hasView = true,
                .instances = fleet,
                .fleet = { .leads = item.leads, .fleetAtLeast = fleet, .members = members } };
            while (const auto request = leader.shares->next(inputs, { at })) {
                if (request->operation != StoreOperation::Write)
                    continue; // a confirmation, whose answer is not needed here
                StoreAnswer answer;
                answer.number = request->number;
                answer.status = StoreStatus::Done;
                answer.at = leader.numbers.next();
                leader.shares->answered(answer, { at });
                if (const auto written = leader.shares->takeWritten())
                    leader.shares->itemChanged(*written, { at });
            }
        }
        CHECK_TEXT(leader.shares->checks() <= item.mostChecks, item.name);
        CHECK_TEXT(!item.mostChecks || leader.shares->checks() > 0, item.name);
    }
}
