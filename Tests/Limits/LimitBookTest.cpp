// Which of several reports about the limit of a backend server is valid when answers overtake each other, a new life
// replaces another, and other instances pass on reports late.

#include "Limits/LimitBook.h"

#include <optional>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

enum class Way {
    Heard, // an answer with a limit
    Answered, // an answer without a limit
    Told // a report from another instance
};

struct Statement {
    Way way = Way::Heard;
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
    { "one limit", { { Way::Heard, 1, 3, 0, 10 } }, 3 },
    { "a lower limit from an older request", { { Way::Heard, 1, 3, 0, 10 }, { Way::Heard, 1, 2, 5, 20 } }, 2 },
    { "a higher limit from an older request", { { Way::Heard, 1, 3, 0, 10 }, { Way::Heard, 1, 8, 5, 20 } }, 3 },
    { "a higher limit from a later request", { { Way::Heard, 1, 3, 0, 10 }, { Way::Heard, 1, 8, 15, 20 } }, 8 },
    { "no limit from an older request", { { Way::Heard, 1, 3, 0, 10 }, { Way::Answered, 1, {}, 5, 20 } }, 3 },
    { "no limit from a later request", { { Way::Heard, 1, 3, 0, 10 }, { Way::Answered, 1, {}, 15, 20 } }, {} },
    { "an answer without a limit before any limit", { { Way::Answered, 1, {}, 5, 20 } }, {} },
    { "a limit after the end of another",
        { { Way::Heard, 1, 3, 0, 10 }, { Way::Answered, 1, {}, 15, 20 }, { Way::Heard, 1, 4, 16, 30 } }, 4 },
    { "a limit of zero", { { Way::Heard, 1, 0, 0, 10 } }, 0 },
    { "a later life", { { Way::Heard, 1, 3, 0, 10 }, { Way::Heard, 2, 9, 5, 20 } }, {}, 1 },
    { "a late report of an earlier life", { { Way::Heard, 2, 9, 0, 10 }, { Way::Heard, 1, 3, 15, 20 } }, 9, 2 },
    { "an answer of a later life without a limit", { { Way::Heard, 1, 3, 0, 10 }, { Way::Answered, 2, {}, 15, 20 } },
        {} },
    { "a limit from another instance", { { Way::Told, 1, 5, 0, 10 } }, 5 },
    { "an end from another instance, within the margin", { { Way::Heard, 1, 3, 0, 10 }, { Way::Told, 1, {}, 0, 60 } },
        3 },
    { "an end from another instance, after the margin", { { Way::Heard, 1, 3, 0, 10 }, { Way::Told, 1, {}, 0, 160 } },
        {} },
    { "an older limit from another instance", { { Way::Heard, 1, 3, 0, 100 }, { Way::Told, 1, 1, 0, 50 } }, 3 },
};

}

TEST_GROUP(LimitBook){};

TEST(LimitBook, KeepsWhatWasSaidLast)
{
    for (const Case& item : Cases) {
        LimitBook book({});
        for (const Statement& said : item.statements) {
            if (said.way == Way::Heard)
                book.heard("s", said.life, *said.limit, { said.sentAt }, { said.at });
            else if (said.way == Way::Answered)
                book.answered("s", said.life, { said.sentAt });
            else
                book.told("s", { .life = said.life, .perSecond = said.limit, .at = { said.at } });
        }
        CHECK_TEXT(book.limitOf("s", item.life) == item.holds, item.name);
    }
}

TEST(LimitBook, ForgetsTheOldestServer)
{
    LimitBook book({ .mostServers = 2 });
    book.heard("a", 1, 1, {}, { 1 });
    book.heard("b", 1, 1, {}, { 2 });
    book.heard("c", 1, 1, {}, { 3 });
    CHECK(!book.limitOf("a", 1));
    CHECK(book.limitOf("c", 1).has_value());
}
