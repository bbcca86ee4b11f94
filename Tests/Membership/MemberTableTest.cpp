#include "Membership/MemberTable.h"
#include "Membership/ContactRegistry.h"
#include "Membership/GossipTree.h"

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

/** Collects the receivers of a message that every receiver forwards, and the most copies that one of them sends. */
void collectReceivers(const std::vector<GossipBranch>& branches, std::size_t mostBranches,
    std::multiset<NetworkAddress>& reached, std::size_t& mostSent)
{
    mostSent = std::max(mostSent, branches.size());
    for (const GossipBranch& branch : branches) {
        reached.insert(branch.receiver);
        collectReceivers(splitIntoBranches(branch.relayTo, mostBranches), mostBranches, reached, mostSent);
    }
}

/** A fleet, spread evenly over several data centres. */
struct FleetShape {
    std::size_t instances = 0;
    std::size_t dataCentres = 1;
};

const std::vector<FleetShape> Shapes{ { 0 }, { 1 }, { 12, 3 }, { 17, 4 }, { 141, 4 }, { 589, 5 }, { 1000, 1 } };

std::vector<KnownMember> membersOf(const FleetShape& shape)
{
    std::vector<KnownMember> members;
    for (std::size_t index = 0; index < shape.instances; ++index) {
        peers::Member made = member("entry-" + std::to_string(index), 1);
        made.set_address("10.0.0.1");
        made.set_port(static_cast<std::uint32_t>(1000 + index));
        made.set_data_centre("dc-" + std::to_string(index % shape.dataCentres));
        members.push_back({ .member = made, .revision = 1, .heardAt = { 1000 } });
    }
    return members;
}

constexpr Milliseconds ShortlyAfterMessages{ 1100 };

}

TEST_GROUP(MemberTable){};

TEST(MemberTable, ALaterLifeReplacesAnEarlierOne)
{
    MemberTable table({});
    CHECK(table.update(member("a", 5), 10, { 0 }));
    CHECK_FALSE_TEXT(table.update(member("a", 5), 11, { 10 }), "the life is already known");
    CHECK_FALSE_TEXT(table.update(member("a", 4), 99, { 20 }), "an earlier life is ignored");
    LONGS_EQUAL(11, table.members().front().revision);
    CHECK(table.update(member("a", 6), 2, { 30 }));
    LONGS_EQUAL(1, table.size());
    LONGS_EQUAL_TEXT(2, table.members().front().revision, "a new life starts with the revision that it reports");
}

TEST(MemberTable, RemovesMembersWithoutRecentMessages)
{
    MemberTable table({ .expireAfter = { 100 } });
    table.update(member("a", 1), 1, { 0 });
    table.update(member("b", 1), 1, { 90 });
    table.tick({ 120 });
    LONGS_EQUAL(1, table.size());
    CHECK(table.members().front().member.incarnation().name() == "b");
}

TEST(MemberTable, UpdatesReachAllMembersAndEachSendsFewCopies)
{
    for (const FleetShape& shape : Shapes) {
        const GossipTreeOptions options{ .origin = "entry-x", .dataCentre = "dc-0" };
        std::size_t mostSent = 0;
        std::multiset<NetworkAddress> reached;
        collectReceivers(
            rootBranches(membersOf(shape), options, ShortlyAfterMessages), options.mostBranches, reached, mostSent);
        LONGS_EQUAL(shape.instances, reached.size());
        const std::set<NetworkAddress> distinct(reached.begin(), reached.end());
        LONGS_EQUAL_TEXT(shape.instances, distinct.size(), "no member receives an update twice");
        CHECK(mostSent <= options.mostBranches + options.branchesElsewhere * (shape.dataCentres - 1));
    }
}

TEST(MemberTable, UpdatesCrossToAnotherDataCentreOnceOrTwice)
{
    const auto members = membersOf({ 141, 4 });
    std::size_t across = 0;
    for (const GossipBranch& branch :
        rootBranches(members, { .origin = "entry-x", .dataCentre = "dc-0" }, ShortlyAfterMessages)) {
        const auto place = [&](const NetworkAddress& address) { return (address.port - 1000U) % 4; };
        across += place(branch.receiver) != 0 ? 1 : 0;
        for (const NetworkAddress& relayed : branch.relayTo)
            LONGS_EQUAL_TEXT(place(branch.receiver), place(relayed), "forwarded within its data centre");
    }
    LONGS_EQUAL(6, across);
}

TEST(MemberTable, MembersWithoutRecentMessagesDoNotForwardAndStrongOnesDo)
{
    auto members = membersOf({ 40, 1 });
    for (std::size_t index = 0; index < 10; ++index)
        members[index].heardAt = { -2000 };
    members[20].member.set_capacity(50);
    for (const std::string origin : { "entry-x", "entry-y" }) {
        const auto branches = rootBranches(members, { .origin = origin, .dataCentre = "dc-0" }, ShortlyAfterMessages);
        LONGS_EQUAL(8, branches.size());
        LONGS_EQUAL_TEXT(1020, branches.front().receiver.port, "the member with the most capacity is first");
        for (const GossipBranch& branch : branches)
            CHECK_TEXT(branch.receiver.port >= 1010, "members without recent messages come last");
    }
}

TEST(MemberTable, AnOlderReportFromAnotherInstanceDoesNotChangeTheTime)
{
    MemberTable table({});
    table.update(member("a", 1), 5, { 1000 });
    table.update(member("a", 1), 5, { 400 });
    LONGS_EQUAL(1000, static_cast<long>(table.members().front().heardAt.count));
}

TEST(MemberTable, ContactsAreTheNewestAddressesWithoutTheOwn)
{
    const NetworkAddress own{ .host = "10.0.0.1", .port = 1 };
    ContactRegistry book({ .own = own, .maximumAddresses = 3 });
    Random random(2);
    for (std::uint16_t port = 1; port <= 6; ++port)
        book.learn({ .host = "10.0.0.1", .port = port });
    const auto some = book.some(5, random);
    const std::set<NetworkAddress> distinct(some.begin(), some.end());
    LONGS_EQUAL(3, distinct.size());
    CHECK(!distinct.contains(own));
    CHECK(distinct.contains({ .host = "10.0.0.1", .port = 6 }));
}
