#include "Measurement/ServerSearch.h"

#include "Routing/LoadAwarePolicy.h"

#include <cmath>
#include <memory>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr Milliseconds Target{ 400 };
constexpr Milliseconds UsualTime{ 160 };
constexpr Milliseconds Arrival{ 1000 };

/** A recent report of a server, and whether a request is sent there. */
struct Case {
    const char* name;
    Milliseconds spent; // by the caller before this request
    Milliseconds waited;
    std::uint32_t workPercent;
    Milliseconds toldBefore; // age of the report
    bool isSent;
};

const std::vector<Case> Cases{
    { "usual speed", { 0 }, { 0 }, 100, { 5 }, true },
    { "twice the usual time is still in time", { 0 }, { 0 }, 200, { 5 }, true },
    { "five times the usual time is late", { 0 }, { 0 }, 500, { 5 }, false },
    { "twice the usual time is late after a wait", { 0 }, { 100 }, 200, { 5 }, false },
    { "a slow report of 110 ms ago still counts", { 0 }, { 0 }, 500, { 110 }, false },
    { "a slow report of 140 ms ago no longer counts", { 0 }, { 0 }, 500, { 140 }, true },
    { "a late caller does not go to a slow server either", { 2000 }, { 0 }, 500, { 5 }, false },
    { "a late caller goes to a server at about usual speed", { 2000 }, { 0 }, 120, { 5 }, true },
    { "after the maximum hold time any server is better than none", { 0 }, { 141 }, 500, { 5 }, true },
};

std::unique_ptr<ServicePool> poolOf(const std::vector<std::string>& ids)
{
    auto pool = std::make_unique<ServicePool>(std::make_unique<LoadAwarePolicy>(), ServicePool::Options{});
    for (const std::string& id : ids) {
        BackendServerRecord record;
        record.id = id;
        record.dataCentre = "dc-1";
        record.slots = 2;
        pool->put(record, { 0 });
    }
    return pool;
}

}

TEST_GROUP(ServerSearch)
{
    Random random{ 1 };
    DecisionCounters counters;
    ProbeManager probes{ { .fleetPerSecond = 600, .dataCentre = "dc-1" }, this->random };
    ServerSearch search{ { .dataCentre = "dc-1" },
        { .probes = &this->probes, .random = &this->random, .counters = &this->counters } };
    ServiceDescription service{ .name = "bookings", .probePath = "/load" };

    ServerSearchState begin(Milliseconds spent = {}) const
    {
        return this->search.begin({ .target = Target, .spent = spent, .usualTime = UsualTime }, Arrival);
    }
};

// Guards against sending requests to servers that are slowed down by noisy neighbours: for 150 ms three of ten servers
// take five times as long. A request that starts there stays slow, is late and occupies one of two slots meanwhile.
TEST(ServerSearch, HoldsARequestBackFromAServerWhereItWouldBeLate)
{
    for (const Case& item : Cases) {
        const auto pool = poolOf({ "s1" });
        const Milliseconds now = Arrival + item.waited;
        pool->find("s1")->updateLoad({ .slots = 2, .workPercent = item.workPercent }, now - item.toldBefore);
        const ServerSearchState request = this->begin(item.spent);
        const ServerChoice choice = pool->choose({ .maxWorkFactor = this->search.maxWorkFactor(request, now) },
            { .now = now, .dataCentre = "dc-1", .expected = UsualTime }, this->random);
        CHECK_TEXT((choice.server != nullptr) == item.isSent, item.name);
        CHECK_TEXT(item.isSent || choice.reason == NoServerReason::Slow, item.name);
    }
}

TEST(ServerSearch, AServerWithoutARecentReportIsNotChosen)
{
    const auto pool = poolOf({ "s1" });
    const SelectionCriteria wish{ .onlyWithRecentReport = true };
    const RoutingContext context{ .now = Arrival, .dataCentre = "dc-1", .expected = UsualTime };
    CHECK(pool->choose(wish, context, this->random).reason == NoServerReason::NoRecentReport);
    pool->find("s1")->updateLoad({ .slots = 2 }, Arrival);
    CHECK(pool->choose(wish, context, this->random).server != nullptr);
}

TEST(ServerSearch, ProbesInABoundedNumberOfRounds)
{
    const auto pool = poolOf({ "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8" });
    ServerSearchState request = this->begin();
    for (unsigned round = 0; round < 6; ++round) {
        CHECK(this->search.mayStartRound(request, Arrival));
        const RoutingContext context{ .now = Arrival + Milliseconds{ 10.0 * round }, .dataCentre = "dc-1" };
        std::vector<Probe> questions;
        CHECK(this->search.startRound(request, this->service, *pool, context, questions));
        CHECK(!questions.empty() && questions.size() <= 6);
        for (const Probe& question : questions)
            this->probes.ended(question.number);
        request.awaitedServers.clear();
    }
    CHECK_FALSE(this->search.mayStartRound(request, Arrival));
}

TEST(ServerSearch, OneGoodAnswerIsEnoughAndASlowOneIsNot)
{
    const auto pool = poolOf({ "s1", "s2" });
    ServerSearchState request = this->begin();
    request.awaitedServers = { "s1", "s2" };
    const Milliseconds now = Arrival + Milliseconds{ 3 };
    pool->find("s1")->updateLoad({ .slots = 2, .workPercent = 500 }, now);
    CHECK_FALSE(this->search.isProbingDone(request, *pool->find("s1"), now));
    CHECK_FALSE_TEXT(this->search.isProbingDone(request, *pool->find("s1"), now), "the server is no longer awaited");
    request.awaitedServers = { "s1", "s2" };
    pool->find("s2")->updateLoad({ .slots = 2, .workPercent = 100 }, now);
    CHECK(this->search.isProbingDone(request, *pool->find("s2"), now));
}
