// Which of several reports about the limit of a backend server is valid when answers overtake each other, a new life
// replaces another, and other instances pass on reports late.

#include "Limits/LimitRegistry.h"

#include <optional>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

enum class Source {
    Limit, // an answer with a limit
    NoLimit, // an answer without a limit
    Peer // a report from another instance
};

struct Statement {
    Source source = Source::Limit;
    std::uint64_t life = 1;
    std::optional<double> limit;
    double sentAt = 0; // when the answered request was sent
    double at = 0;
};

struct Case {
    const char* name;
    std::vector<Statement> statements;
    std::optional<double> holds; // the limit in the end, of the life below
    std::uint64_t life = 1;
};

const std::vector<Case> Cases{
    { "one limit", { { Source::Limit, 1, 3, 0, 10 } }, 3 },
    { "a lower limit from an older request", { { Source::Limit, 1, 3, 0, 10 }, { Source::Limit, 1, 2, 5, 20 } }, 2 },
    { "a higher limit from an older request", { { Source::Limit, 1, 3, 0, 10 }, { Source::Limit, 1, 8, 5, 20 } }, 3 },
    { "a higher limit from a later request", { { Source::Limit, 1, 3, 0, 10 }, { Source::Limit, 1, 8, 15, 20 } }, 8 },
    { "no limit from an older request", { { Source::Limit, 1, 3, 0, 10 }, { Source::NoLimit, 1, {}, 5, 20 } }, 3 },
    { "no limit from a later request", { { Source::Limit, 1, 3, 0, 10 }, { Source::NoLimit, 1, {}, 15, 20 } }, {} },
    { "an answer without a limit before any limit", { { Source::NoLimit, 1, {}, 5, 20 } }, {} },
    { "a limit after the end of another",
        { { Source::Limit, 1, 3, 0, 10 }, { Source::NoLimit, 1, {}, 15, 20 }, { Source::Limit, 1, 4, 16, 30 } }, 4 },
    { "a limit of zero", { { Source::Limit, 1, 0, 0, 10 } }, 0 },
    { "a later life", { { Source::Limit, 1, 3, 0, 10 }, { Source::Limit, 2, 9, 5, 20 } }, {}, 1 },
    { "a late report of an earlier life", { { Source::Limit, 2, 9, 0, 10 }, { Source::Limit, 1, 3, 15, 20 } }, 9, 2 },
    { "an answer of a later life without a limit",
        { { Source::Limit, 1, 3, 0, 10 }, { Source::NoLimit, 2, {}, 15, 20 } }, {} },
    { "a limit from another instance", { { Source::Peer, 1, 5, 0, 10 } }, 5 },
    { "an end from another instance, within the margin",
        { { Source::Limit, 1, 3, 0, 10 }, { Source::Peer, 1, {}, 0, 60 } }, 3 },
    { "an end from another instance, after the margin",
        { { Source::Limit, 1, 3, 0, 10 }, { Source::Peer, 1, {}, 0, 160 } }, {} },
    { "an older limit from another instance", { { Source::Limit, 1, 3, 0, 100 }, { Source::Peer, 1, 1, 0, 50 } }, 3 },
};

}

TEST_GROUP(LimitRegistry){};

TEST(LimitRegistry, KeepsTheLatestValidReport)
{
    for (const Case& item : Cases) {
        LimitRegistry registry({});
        for (const Statement& statement : item.statements) {
            if (statement.source == Source::Limit)
                registry.recordLimit("s", statement.life, *statement.limit, { statement.sentAt }, { statement.at });
            else if (statement.source == Source::NoLimit)
                registry.recordAnswer("s", statement.life, { statement.sentAt });
            else
                registry.mergeFromPeer(
                    "s", { .life = statement.life, .perSecond = statement.limit, .at = { statement.at } });
        }
        CHECK_TEXT(registry.limitOf("s", item.life) == item.holds, item.name);
    }
}

TEST(LimitRegistry, ForgetsTheOldestServer)
{
    LimitRegistry registry({ .mostServers = 2 });
    registry.recordLimit("a", 1, 1, {}, { 1 });
    registry.recordLimit("b", 1, 1, {}, { 2 });
    registry.recordLimit("c", 1, 1, {}, { 3 });
    CHECK(!registry.limitOf("a", 1));
    CHECK(registry.limitOf("c", 1).has_value());
}
