#include "Membership/MemberTable.h"
#include "Membership/ContactBook.h"
#include "Membership/NewsTree.h"

#include <set>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

peers::Member member(const std::string& name, std::uint64_t life)
{
    peers::Member made;
    made.mutable_incarnation()->set_name(name);
    made.mutable_incarnation()->set_number(life);
    return made;
}

/** Receivers that a message reaches when every branch passes it on in turn. */
std::size_t reached(const std::vector<peers::Member>& receivers, std::size_t mostBranches, std::size_t& mostSent)
{
    std::size_t count = 0;
    const auto branches = branchesOf(receivers, mostBranches);
    mostSent = std::max(mostSent, branches.size());
    for (const NewsBranch& branch : branches)
        count += 1 + reached(branch.relayTo, mostBranches, mostSent);
    return count;
}

}

TEST_GROUP(MemberTable){};

TEST(MemberTable, ALaterLifeReplacesAnEarlierOne)
{
    MemberTable table({});
    CHECK(table.heard(member("a", 5), 10, { 0 }));
    CHECK_FALSE_TEXT(table.heard(member("a", 5), 11, { 10 }), "known already");
    CHECK_FALSE_TEXT(table.heard(member("a", 4), 99, { 20 }), "an earlier life is ignored");
    LONGS_EQUAL(11, table.members().front().revision);
    CHECK(table.heard(member("a", 6), 2, { 30 }));
    LONGS_EQUAL(1, table.size());
    LONGS_EQUAL_TEXT(2, table.members().front().revision, "a new life knows only what it says");
}

TEST(MemberTable, ForgetsTheSilent)
{
    MemberTable table({ .forgottenAfter = { 100 } });
    table.heard(member("a", 1), 1, { 0 });
    table.heard(member("b", 1), 1, { 90 });
    table.tick({ 120 });
    LONGS_EQUAL(1, table.size());
    CHECK(table.members().front().member.incarnation().name() == "b");
}

TEST(MemberTable, NewsReachEverybodyAndNobodySendsMany)
{
    for (const std::size_t count : { 0, 1, 17, 32, 33, 141, 590, 1000 }) {
        std::vector<peers::Member> receivers;
        for (std::size_t index = 0; index < count; ++index)
            receivers.push_back(member("entry-" + std::to_string(index), 1));
        std::size_t mostSent = 0;
        LONGS_EQUAL(count, reached(receivers, 32, mostSent));
        CHECK(mostSent <= 32);
    }
}

TEST(MemberTable, TheContactBookKeepsTheNewestAndNeverItself)
{
    const NetworkAddress own{ .host = "10.0.0.1", .port = 1 };
    ContactBook book({ .own = own, .most = 3 });
    Random random(2);
    for (std::uint16_t port = 1; port <= 6; ++port)
        book.learn({ .host = "10.0.0.1", .port = port });
    const auto some = book.some(5, random);
    const std::set<NetworkAddress> distinct(some.begin(), some.end());
    LONGS_EQUAL(3, distinct.size());
    CHECK(!distinct.contains(own));
    CHECK(distinct.contains({ .host = "10.0.0.1", .port = 6 }));
}
