#include "Crashes/CrashTable.h"
#include "Base/Random.h"

#include <algorithm>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr RequestDigest Harmful{ .high = 1, .low = 1 };
constexpr Milliseconds Minute{ 60000 };
constexpr Milliseconds Hour{ 3600000 };

RequestDigest other(std::uint64_t number)
{
    return { .high = 2, .low = number };
}

NetworkAddress address(std::uint64_t server)
{
    return { .host = "10.0.0.1", .port = static_cast<std::uint16_t>(server) };
}

constexpr std::uint64_t Caller = 70;
constexpr std::uint64_t OtherCaller = 71;
/** Crashes this far apart count as separate events. */
constexpr Milliseconds Apart{ 20 };

/** A crash of a server; each server has its own address. */
ServerCrash crashOf(std::uint64_t server, Milliseconds at, std::uint64_t caller = Caller)
{
    return { .server = server, .address = address(server), .caller = caller, .at = at };
}

/** A crash of one of several processes that had the same address. */
ServerCrash crashAt(std::uint16_t port, std::uint64_t server, std::uint32_t ordinal = 1)
{
    return { .server = server,
        .ordinal = ordinal,
        .address = address(port),
        .caller = Caller,
        .at = Apart * static_cast<double>(server * 10 + ordinal) };
}

bool isRefused(const CrashTable& table, const RequestDigest& digest, Milliseconds now, std::uint64_t caller = Caller)
{
    return table.isRefused({ .digest = digest, .caller = caller }, now);
}

CrashTable newTable(const std::string& instance = "entry-1")
{
    return CrashTable({ .instance = instance });
}

void addCrashes(CrashTable& table, const RequestDigest& digest, std::uint64_t first, std::size_t count, Milliseconds at)
{
    for (std::size_t index = 0; index < count; ++index) {
        const Milliseconds time = at - Apart * static_cast<double>(count - 1 - index);
        table.add(digest, crashOf(first + index, time), time);
    }
}

/** The known crashes under a request, and whether it is refused because of them. */
struct Case {
    const char* name;
    std::vector<ServerCrash> crashes;
    bool hasOneAddress;
    bool isRefused;
};

const std::vector<Case> Cases{
    { "no crashes", {}, false, false },
    { "two servers", { crashOf(1, { 0 }), crashOf(2, { 50 }) }, false, false },
    { "three servers", { crashOf(1, { 0 }), crashOf(2, { 50 }), crashOf(3, { 100 }) }, false, true },
    { "three servers at once", { crashOf(1, { 0 }), crashOf(2, { 2 }), crashOf(3, { 4 }) }, false, false },
    { "one crash reported three times", { crashOf(1, { 0 }), crashOf(1, { 30 }), crashOf(1, { 9000 }) }, false, false },
    { "three processes at one address of several", { crashAt(7, 1), crashAt(7, 2), crashAt(7, 3) }, false, false },
    { "three processes of the only server", { crashAt(7, 1), crashAt(7, 2), crashAt(7, 3) }, true, true },
    { "three crashes of two servers, one of which keeps its record",
        { crashAt(7, 1, 1), crashAt(7, 1, 2), crashAt(8, 2, 1) }, false, true },
    { "crashes of another caller's requests",
        { crashOf(1, { 0 }, OtherCaller), crashOf(2, { 50 }, OtherCaller), crashOf(3, { 100 }, OtherCaller) }, false,
        false },
    { "crashes of several callers' requests",
        { crashOf(1, { 0 }, OtherCaller), crashOf(2, { 50 }, 72), crashOf(3, { 100 }, 73) }, false, true },
    { "crashes of several callers' requests at once",
        { crashOf(1, { 0 }, OtherCaller), crashOf(2, { 2 }, 72), crashOf(3, { 4 }, 73) }, false, false },
};

}

TEST_GROUP(CrashTable){};

TEST(CrashTable, RefusesARequestUnderWhichThreeServersCrashed)
{
    for (const Case& item : Cases) {
        CrashTable table = newTable();
        for (const ServerCrash& crash : item.crashes)
            table.add(Harmful, crash, { 0 });
        const CallerRequest request{ .digest = Harmful, .caller = Caller, .hasOneAddress = item.hasOneAddress };
        CHECK_EQUAL_TEXT(item.isRefused, table.isRefused(request, { 10000 }), item.name);
        CHECK_TEXT(!isRefused(table, other(1), { 10000 }), item.name);
    }
}

TEST(CrashTable, AnUnknownDigestIsNeverRefused)
{
    CrashTable table = newTable();
    addCrashes(table, {}, 1, 5, { 0 });
    CHECK(!isRefused(table, {}, { 1 }));
    LONGS_EQUAL(0, table.size());
}

TEST(CrashTable, AnAnswerClearsOlderCrashes)
{
    CrashTable table = newTable();
    addCrashes(table, Harmful, 1, 2, { 1000 });
    CHECK(table.answered(Harmful, Caller, { 2000 }, { 2000 }));
    // Late reports and records in the store do not restore cleared crashes.
    CHECK(!table.add(Harmful, crashOf(1, { 1000 }), { 2100 }));
    CHECK(!table.addStored(Harmful, crashOf(2, { 2050 }), { 2100 }));
    CHECK(table.add(Harmful, crashOf(4, { 3000 }), { 3000 }));
    LONGS_EQUAL(1, table.countedCrashes(Harmful));
    CHECK(!table.answered(other(1), Caller, { 2000 }, { 3000 }));
}

TEST(CrashTable, AnAnswerToAnotherCallerDoesNotClearThisOne)
{
    CrashTable table = newTable();
    addCrashes(table, Harmful, 1, 3, { 1000 });
    table.answered(Harmful, OtherCaller, { 2000 }, { 2000 });
    CHECK(isRefused(table, Harmful, { 2000 }));
    CHECK(!isRefused(table, Harmful, { 2000 }, OtherCaller));
}

TEST(CrashTable, AnAnswerToAnyCallerClearsTheResultForAll)
{
    CrashTable table = newTable();
    for (std::uint64_t number = 1; number <= 4; ++number)
        table.add(Harmful, crashOf(number, Apart * static_cast<double>(number), 100 + number), { 100 });
    CHECK(isRefused(table, Harmful, { 200 }));
    CHECK(table.answered(Harmful, Caller, { 300 }, { 300 }));
    CHECK(!isRefused(table, Harmful, { 300 }));
    CHECK(!table.answered(Harmful, Caller, { 400 }, { 400 }));
}

TEST(CrashTable, IsRefusedLongerWithEachFurtherCrashAndForgottenAfterADay)
{
    CrashTable table = newTable();
    addCrashes(table, Harmful, 1, 3, { 0 });
    CHECK(isRefused(table, Harmful, { 9900 }));
    CHECK(!isRefused(table, Harmful, { 20100 }));
    table.tried(Harmful, { 20100 });
    CHECK(isRefused(table, Harmful, { 20200 }));
    table.add(Harmful, crashOf(4, { 20200 }), { 20200 });
    CHECK(isRefused(table, Harmful, Minute * 5));
    CHECK(!isRefused(table, Harmful, Minute * 11));
    table.add(Harmful, crashOf(5, Minute * 11), Minute * 11);
    CHECK(isRefused(table, Harmful, Hour * 2.5));
    table.expire(Hour * 25);
    LONGS_EQUAL(0, table.size());
}

TEST(CrashTable, NotAllInstancesTryAtTheSameTime)
{
    std::vector<double> times;
    for (int instance = 0; instance < 100; ++instance) {
        CrashTable table = newTable("entry-" + std::to_string(instance));
        addCrashes(table, Harmful, 1, 3, { 0 });
        times.push_back(table.refusedUntil(Harmful).count);
    }
    std::sort(times.begin(), times.end());
    CHECK(times.front() >= 10000);
    CHECK(times.back() - times.front() > 8000);
}

TEST(CrashTable, RequestsBesideAHarmfulOneAreServed)
{
    // A service of few servers, most of them down: many callers keep retrying, so that each crash affects many
    // requests.
    constexpr std::size_t crashes = 30;
    constexpr std::uint64_t neighbours = 100;
    constexpr double meets = 0.15;
    CrashTable table({ .mostCrashes = crashes });
    Random random(1);
    for (std::size_t server = 1; server <= crashes; ++server) {
        const Milliseconds at = Apart * static_cast<double>(server);
        table.add(Harmful, crashOf(server, at), at);
        for (std::uint64_t neighbour = 1; neighbour <= neighbours; ++neighbour) {
            if (random.unit() < meets)
                table.add(other(neighbour), crashOf(server, at), at);
        }
    }
    std::size_t besideThree = 0;
    std::size_t refused = 0;
    for (std::uint64_t neighbour = 1; neighbour <= neighbours; ++neighbour) {
        besideThree += table.crashes(other(neighbour)).size() >= CrashTable::CrashesToConfirm ? 1 : 0;
        refused += isRefused(table, other(neighbour), { 100 }) ? 1 : 0;
    }
    CHECK(besideThree > 70);
    LONGS_EQUAL(0, refused);
    CHECK(isRefused(table, Harmful, { 1000 }));
}

TEST(CrashTable, TheNextCrashTellsTwoRequestsWithTheSameThreeCrashesApart)
{
    CrashTable table = newTable();
    addCrashes(table, Harmful, 1, 3, { 0 });
    addCrashes(table, other(1), 1, 3, { 0 });
    CHECK(!isRefused(table, Harmful, { 1000 }));
    table.add(Harmful, crashOf(4, { 200 }), { 200 });
    CHECK(isRefused(table, Harmful, { 300 }));
    CHECK(!isRefused(table, other(1), { 300 }));
}

TEST(CrashTable, TwoHarmfulRequestsAreBothFoundDespiteSharedCrashes)
{
    CrashTable table = newTable();
    addCrashes(table, Harmful, 1, 6, { 0 });
    addCrashes(table, other(1), 4, 3, { 0 });
    std::uint64_t server = 7;
    for (; !isRefused(table, other(1), { 1000 }); ++server)
        table.add(other(1), crashOf(server, Apart * static_cast<double>(server)), { 1000 });
    LONGS_EQUAL(2, server - 7);
    CHECK(isRefused(table, Harmful, { 1000 }));
}

TEST(CrashTable, IsBoundedAndKeepsTheLikeliestCauses)
{
    CrashTable table({ .mostRequests = 10 });
    addCrashes(table, Harmful, 1, 3, { 0 });
    for (std::uint64_t number = 1; number <= 100; ++number)
        table.add(other(number), crashOf(100 + number, { 1000 }), { 1000 });
    LONGS_EQUAL(10, table.size());
    CHECK(isRefused(table, Harmful, { 1000 }));
    addCrashes(table, Harmful, 200, 100, { 5000 });
    LONGS_EQUAL(16, table.crashes(Harmful).size());
}

TEST(CrashTable, AttemptsThatSeeTheSameCrashGetTheSameOrdinal)
{
    CrashTable table = newTable();
    LONGS_EQUAL(1, table.nextOrdinal(Harmful, 1, { 1000 }));
    table.add(Harmful, crashOf(1, { 1000 }), { 1000 });
    LONGS_EQUAL(1, table.nextOrdinal(Harmful, 1, { 1010 }));
    LONGS_EQUAL(2, table.nextOrdinal(Harmful, 1, { 4000 }));
    LONGS_EQUAL(1, table.nextOrdinal(Harmful, 2, { 4000 }));
}
