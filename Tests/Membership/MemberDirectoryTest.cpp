#include "Membership/MemberDirectory.h"

#include "Membership/Overlay.h"

#include <set>
#include <string>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

peers::Incarnation incarnation(const std::string& name, std::uint64_t number)
{
    peers::Incarnation made;
    made.set_name(name);
    made.set_number(number);
    return made;
}

InstanceList list(std::uint64_t index, const std::vector<std::string>& names)
{
    InstanceList made;
    made.index = index;
    for (const std::string& name : names)
        made.instances.push_back(
            { .name = name, .dataCentre = "dc-1", .address = { .host = "10.0.0.1", .port = 1 }, .leaving = false });
    return made;
}

}

TEST_GROUP(MemberDirectory)
{
    MemberDirectory directory;
};

TEST(MemberDirectory, SilenceIsNoProofOfAnEnd)
{
    this->directory.update(list(1, { "a" }));
    this->directory.heard(incarnation("a", 7), { 0 });
    CHECK_FALSE(this->directory.isGone(7));
    this->directory.update(list(2, { "a", "b" }));
    CHECK_FALSE(this->directory.isGone(7));
}

TEST(MemberDirectory, VanishingFromTheListIsTheEnd)
{
    this->directory.update(list(2, { "a" }));
    this->directory.heard(incarnation("a", 7), { 0 });
    CHECK_FALSE_TEXT(this->directory.update(list(1, {})), "an older list says nothing");
    CHECK_FALSE(this->directory.isGone(7));
    this->directory.update(list(3, {}));
    CHECK(this->directory.isGone(7));
    CHECK_FALSE_TEXT(this->directory.heard(incarnation("a", 7), { 1 }), "messages of one that is gone do not count");
}

TEST(MemberDirectory, NeverListedIsNotVanished)
{
    this->directory.heard(incarnation("a", 7), { 0 });
    this->directory.update(list(1, { "b" }));
    CHECK_FALSE(this->directory.isGone(7));
}

TEST(MemberDirectory, AHigherIncarnationEndsTheLowerOne)
{
    this->directory.heard(incarnation("a", 7), { 0 });
    CHECK(this->directory.heard(incarnation("a", 9), { 1 }));
    CHECK(this->directory.isGone(7));
    CHECK_FALSE(this->directory.heard(incarnation("a", 8), { 2 }));
    CHECK_FALSE(this->directory.isGone(9));
}

TEST(MemberDirectory, EveryMemberIsReachedOverFewNeighbours)
{
    for (const int size : { 1, 2, 3, 18, 64, 590 }) {
        peers::Ownership ownership;
        for (int index = 1; index <= size; ++index)
            *ownership.add_members()->mutable_incarnation()
                = incarnation("entry-" + std::to_string(index), static_cast<std::uint64_t>(index));
        const Overlay overlay(ownership);
        std::set<std::uint64_t> reached{ 1 };
        std::size_t steps = 0;
        for (std::size_t before = 0; before != reached.size(); ++steps) {
            before = reached.size();
            for (const std::uint64_t member : std::set<std::uint64_t>(reached)) {
                CHECK(overlay.targets(member).size() <= 5);
                for (const peers::Member& target : overlay.targets(member))
                    reached.insert(target.incarnation().number());
            }
        }
        LONGS_EQUAL(size, reached.size());
        CHECK(steps <= 17);
    }
}
