#include "Membership/PullCollector.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr StoreRevision Current = 10000;

KnownMember asker(const std::string& name)
{
    KnownMember known;
    known.member.mutable_incarnation()->set_name(name);
    return known;
}

peers::Pull pullSince(StoreRevision since, bool byThemselves = false)
{
    peers::Pull pull;
    pull.set_store_revision(since);
    pull.set_by_themselves(byThemselves);
    return pull;
}

/** The groups as text: the revision, a star if values are sent without a base, and the names of the askers. */
std::string textOf(const std::vector<PullGroup>& groups)
{
    std::string text;
    for (const PullGroup& group : groups) {
        text += text.empty() ? "" : " ";
        text += std::to_string(group.since) + (group.byThemselves ? "*:" : ":");
        for (const KnownMember& known : group.askers)
            text += known.member.incarnation().name();
    }
    return text;
}

struct Asked {
    const char* name;
    StoreRevision since;
    bool byThemselves = false;
};

/** Pulls that arrive between two answers, and the groups in which they are answered. */
struct Case {
    const char* name;
    std::vector<Asked> asked;
    const char* groups;
};

const std::vector<Case> Cases{
    { "one", { { "a", 9000 } }, "9000:a" },
    { "the same revision", { { "a", 9000 }, { "b", 9000 }, { "c", 9000 } }, "9000:abc" },
    { "about the same revision", { { "a", 9000 }, { "b", 8990 }, { "c", 9100 } }, "8990:abc" },
    { "one far behind does not make the others wait for its changes", { { "a", 9990 }, { "b", 10 }, { "c", 9991 } },
        "9990:ac 10:b" },
    { "one that has nothing", { { "a", 9990 }, { "b", 0 } }, "0:b 9990:a" },
    { "values without a base", { { "a", 9000 }, { "b", 9000, true } }, "9000:a 9000*:b" },
    { "a later pull replaces the earlier one", { { "a", 9000 }, { "b", 9000 }, { "a", 9999 } }, "9999:a 9000:b" },
    { "one that is not behind", { { "a", Current } }, "10000:a" },
    { "one that is ahead", { { "a", Current + 5 } }, "10005:a" },
};

}

TEST_GROUP(PullCollector){};

TEST(PullCollector, AnswersThoseThatMissAboutTheSameTogether)
{
    for (const Case& item : Cases) {
        PullCollector pulls({});
        pulls.add(asker("first"), pullSince(1), { 0 });
        LONGS_EQUAL_TEXT(1, pulls.takeDue(Current, { 0 }).size(), "the first is answered at once");
        for (const Asked& asked : item.asked) {
            pulls.add(asker(asked.name), pullSince(asked.since, asked.byThemselves), { 10 });
            CHECK_TEXT(pulls.takeDue(Current, { 10 }).empty(), item.name);
        }
        LONGS_EQUAL_TEXT(100, static_cast<long>(pulls.nextDue().count), item.name);
        STRCMP_EQUAL_TEXT(item.groups, textOf(pulls.takeDue(Current, { 100 })).c_str(), item.name);
        CHECK_TEXT(pulls.nextDue() == Never, item.name);
    }
}

// Guards against a line of answers that nobody waits for any more: a weak instance answered pulls up to 13 s after they
// came, five times to the same instance.
TEST(PullCollector, HundredsOfPullsOfAHerdAreAnsweredAFewTimes)
{
    constexpr std::size_t instances = 984;
    PullCollector pulls({});
    std::size_t answers = 0;
    std::size_t answered = 0;
    const auto take = [&](Milliseconds now) {
        for (const PullGroup& group : pulls.takeDue(Current, now)) {
            ++answers;
            answered += group.askers.size();
        }
    };
    for (std::size_t repeat = 0; repeat < 3; ++repeat) {
        for (std::size_t index = 0; index < instances; ++index) {
            const Milliseconds now{ static_cast<double>(index) * 0.1 };
            pulls.add(asker(std::to_string(index)), pullSince(9500 + index % 40), now);
            take(now);
        }
    }
    take({ 200 });
    CHECK(answers <= 5);
    CHECK(answered >= instances);
    CHECK(answered <= instances + 4);
}

TEST(PullCollector, DoesNotAnswerWhatIsNoLongerAwaited)
{
    PullCollector pulls({});
    pulls.add(asker("a"), pullSince(9000), { 0 });
    pulls.add(asker("b"), pullSince(9000), { 900 });
    // The instance was suspended, or busy, for a second.
    STRCMP_EQUAL("9000:b", textOf(pulls.takeDue(Current, { 1000 })).c_str());
}
