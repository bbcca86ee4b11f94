// Guards against two instances that grant in full at the same time, which would let twice a customer's limit through.
// Several instances take over from each other through the store alone, while one is killed, suspended, restarted or
// cut off from the store, or its writes are answered late. After each step the tests add up what all may grant.

#include "Quotas/CreditGrantorLease.h"

#include <algorithm>
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

/** An instance with its copy of the stored item. */
struct Instance {
    peers::Member self;
    StoreCallNumbers numbers;
    Random random{ 7 };
    std::unique_ptr<CreditGrantorLease> tenure;
    std::optional<StoreItem> view;
    Milliseconds watchedAt = LongAgo;
    bool leads = false;
    bool isSuspended = false;
    bool reachesStore = true;
    std::optional<StoreRequest> pendingWrite; // a write that the store has not yet handled
    Milliseconds pendingUntil;

    void start(const std::string& name, std::uint64_t life, std::uint32_t port)
    {
        this->self.mutable_incarnation()->set_name(name);
        this->self.mutable_incarnation()->set_number(life);
        this->self.set_address("10.0.0.1");
        this->self.set_port(port);
        this->tenure = std::make_unique<CreditGrantorLease>(
            CreditGrantorLease::Options{ .self = this->self }, this->numbers, this->random);
        this->view.reset();
        this->watchedAt = LongAgo;
    }
};

/** Simulates several instances and a store in fixed time steps. */
class TenureSimulation {
public:
    explicit TenureSimulation(std::size_t count)
        : instances(count)
    {
        for (std::size_t index = 0; index < count; ++index)
            this->restart(index);
        this->lead(0);
    }

    Instance& at(std::size_t index) { return this->instances[index]; }
    void restart(std::size_t index)
    {
        this->instances[index].start(
            "entry-" + std::to_string(index), ++this->lives[index], static_cast<std::uint32_t>(7000 + index));
    }
    void lead(std::size_t leader)
    {
        for (std::size_t index = 0; index < this->instances.size(); ++index)
            this->instances[index].leads = index == leader;
    }
    void run(Milliseconds span)
    {
        const Milliseconds end = this->now + span;
        for (; this->now < end; this->now = this->now + Step) {
            for (Instance& each : this->instances) {
                if (each.tenure && !each.isSuspended)
                    this->runInstance(each);
            }
            this->check();
        }
    }
    GrantMode modeOf(std::size_t index) { return this->mode(this->instances[index]); }
    double share() { return this->sum(); }
    /** How long after its sending each write takes effect and is answered. */
    Milliseconds writeDelay{ 10 };
    bool loseAnswers = false;
    double largest = 0;

private:
    GrantMode mode(const Instance& each) const { return each.tenure ? each.tenure->mode(this->now) : GrantMode::None; }
    double sum()
    {
        double sum = 0;
        for (const Instance& each : this->instances) {
            // A suspended instance grants nothing until it runs again.
            const GrantMode mode = each.isSuspended ? GrantMode::None : this->mode(each);
            sum += mode == GrantMode::Full ? 1 : mode == GrantMode::Half ? 0.5 : 0;
        }
        return sum;
    }
    void check() { this->largest = std::max(this->largest, this->sum()); }
    void runInstance(Instance& each)
    {
        if (each.reachesStore && this->now - each.watchedAt >= WatchWait)
            this->watch(each);
        if (each.pendingWrite && this->now >= each.pendingUntil)
            this->finishWrite(each);
        const auto heard = [this](const std::string& name) -> std::optional<CreditGrantorLease::LastMessage> {
            for (const Instance& other : this->instances) {
                if (other.tenure && !other.isSuspended && other.self.incarnation().name() == name)
                    return CreditGrantorLease::LastMessage{ .member = other.self, .at = this->now };
            }
            return std::nullopt;
        };
        auto call = each.tenure->next({ .stored = each.view ? &*each.view : nullptr,
                                          .leads = each.leads,
                                          .isWatching = true,
                                          .findLastMessage = heard },
            this->now);
        if (!call)
            return;
        if (call->operation == StoreOperation::ReadRange)
            return this->answerRead(each, *call);
        each.pendingWrite = std::move(call);
        each.pendingUntil = this->now + this->writeDelay;
    }
    /** A watch without changes ends and the next one begins; finishWrite() delivers changes at once. */
    void watch(Instance& each)
    {
        each.watchedAt = this->now;
        if (this->stored)
            each.view = this->stored;
    }
    void answerRead(Instance& each, const StoreRequest& request)
    {
        StoreAnswer answer;
        answer.number = request.number;
        if (each.reachesStore) {
            answer.status = StoreStatus::Done;
            answer.items.push_back(*this->stored);
        }
        each.tenure->answered(answer, this->now);
    }
    void finishWrite(Instance& each)
    {
        const StoreRequest request = *std::exchange(each.pendingWrite, std::nullopt);
        StoreAnswer answer;
        answer.number = request.number;
        const StoreRevision present = this->stored ? this->stored->revision : 0;
        if (each.reachesStore && present == request.expected) {
            this->stored = StoreItem{ .key = request.key, .value = request.value, .revision = ++this->revision };
            answer.status = this->loseAnswers ? StoreStatus::Unknown : StoreStatus::Done;
            answer.at = this->revision;
            for (Instance& other : this->instances) {
                if (other.reachesStore && !other.isSuspended)
                    other.view = this->stored;
            }
        } else
            answer.status = each.reachesStore ? StoreStatus::Conflict : StoreStatus::Unknown;
        each.tenure->answered(answer, this->now);
        if (auto written = each.tenure->takeWritten())
            each.view = std::move(written);
    }

    std::vector<Instance> instances;
    std::map<std::size_t, std::uint64_t> lives;
    std::optional<StoreItem> stored;
    StoreRevision revision = 0;
    Milliseconds now{ 1000 };
};

struct Case {
    const char* name;
    std::function<void(TenureSimulation&)> injectFault;
    Milliseconds recoveryTime; // after this, at least half is granted again
};

const std::vector<Case> Cases{
    { "nothing", [](TenureSimulation&) {}, { 0 } },
    { "another instance leads", [](TenureSimulation& all) { all.lead(1); }, { 4200 } },
    { "the granting instance is killed",
        [](TenureSimulation& all) {
            all.at(0).tenure.reset();
            all.lead(1);
        },
        { 1500 } },
    { "it is killed and restarted", [](TenureSimulation& all) { all.restart(0); }, { 1500 } },
    { "it is killed and restarted, and another instance leads",
        [](TenureSimulation& all) {
            all.restart(0);
            all.lead(1);
        },
        { 1500 } },
    { "it is suspended",
        [](TenureSimulation& all) {
            all.at(0).isSuspended = true;
            all.lead(1);
        },
        { 1500 } },
    { "it loses the store, and another instance leads",
        [](TenureSimulation& all) {
            all.at(0).reachesStore = false;
            all.at(1).leads = true;
        },
        { 100 } },
    { "two instances lead without knowing of each other", [](TenureSimulation& all) { all.at(1).leads = true; },
        { 100 } },
    { "all are killed and restarted",
        [](TenureSimulation& all) {
            all.restart(0);
            all.restart(1);
            all.restart(2);
        },
        { 1500 } },
    { "no instance reaches the store",
        [](TenureSimulation& all) {
            for (std::size_t index = 0; index < 3; ++index)
                all.at(index).reachesStore = false;
        },
        { 100 } },
    { "answers of the store are lost, and another instance leads",
        [](TenureSimulation& all) {
            all.loseAnswers = true;
            all.lead(1);
        },
        { 7000 } },
    { "writes take effect seconds later, and another instance leads",
        [](TenureSimulation& all) {
            all.writeDelay = { 1400 };
            all.lead(1);
        },
        { 8000 } },
};

}

TEST_GROUP(CreditGrantorLease){};

TEST(CreditGrantorLease, AllInstancesTogetherNeverGrantMoreThanTheLimit)
{
    for (const Case& item : Cases) {
        TenureSimulation all(3);
        all.run({ 5000 });
        CHECK_TEXT(all.modeOf(0) == GrantMode::Full, item.name);
        item.injectFault(all);
        all.run(item.recoveryTime);
        all.run({ 500 });
        CHECK_TEXT(all.share() >= 0.5, item.name);
        all.run({ 8000 });
        // All faults end.
        for (std::size_t index = 0; index < 3; ++index) {
            all.at(index).isSuspended = false;
            all.at(index).reachesStore = true;
            if (!all.at(index).tenure)
                all.restart(index);
        }
        all.lead(0);
        all.loseAnswers = false;
        all.writeDelay = { 10 };
        all.run({ 20000 });
        CHECK_TEXT(all.largest <= 1, item.name);
        CHECK_TEXT(all.share() >= 0.5, item.name);
    }
}

TEST(CreditGrantorLease, WritesNothingWhenNoCreditIsNeeded)
{
    StoreCallNumbers numbers;
    Random random(1);
    CreditGrantorLease tenure({}, numbers, random);
    const auto heard
        = [](const std::string&) -> std::optional<CreditGrantorLease::LastMessage> { return std::nullopt; };
    for (double time = 0; time < 20000; time += 100)
        CHECK_FALSE(tenure.next(
            { .stored = nullptr, .leads = true, .isWatching = true, .isNeeded = false, .findLastMessage = heard },
            { time }));
    CHECK(tenure.mode({ 20000 }) == GrantMode::None);
}
