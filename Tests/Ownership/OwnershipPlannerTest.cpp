#include "Ownership/OwnershipPlanner.h"

#include "Ownership/SlotMap.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

MemberStatus statusOf(int number, bool reachable = true, bool gone = false, bool leaving = false)
{
    MemberStatus status;
    status.member.mutable_incarnation()->set_name("entry-" + std::to_string(number));
    status.member.mutable_incarnation()->set_number(static_cast<std::uint64_t>(number));
    status.member.set_data_centre("dc-" + std::to_string(number % 2));
    status.member.set_leaving(leaving);
    status.reachable = reachable;
    status.gone = gone;
    return status;
}

/** An ownership whose every slot has primary 1 and backup 2. */
peers::Ownership pairOfTwo(bool backupComplete)
{
    peers::Ownership ownership;
    ownership.set_epoch(5);
    *ownership.add_members() = statusOf(1).member;
    *ownership.add_members() = statusOf(2).member;
    for (std::size_t slot = 0; slot < SlotCount; ++slot) {
        peers::Slot* added = ownership.add_slots();
        added->set_changed_epoch(5);
        added->set_primary(1);
        added->set_backup(2);
        added->set_backup_complete(backupComplete);
    }
    return ownership;
}

/** The incarnation that a slot names, or 0. */
std::uint64_t numberOf(const peers::Member* member)
{
    return member ? member->incarnation().number() : 0;
}

struct Case {
    const char* name;
    bool backupComplete;
    std::vector<MemberStatus> statuses;
    // Of slot 0 afterwards; all 0 when nothing may change.
    std::uint64_t primary;
    std::uint64_t backup;
    bool lost;
};

const std::vector<Case> Cases{
    { "nothing happened", true, { statusOf(1), statusOf(2) }, 0, 0, false },
    { "silent primary, complete backup", true, { statusOf(1, false), statusOf(2), statusOf(3) }, 2, 3, false },
    { "silent primary, incomplete backup: it might still act", false, { statusOf(1, false), statusOf(2), statusOf(3) },
        1, 2, false },
    { "primary gone, incomplete backup: lost", false, { statusOf(1, false, true), statusOf(2) }, 2, 0, true },
    { "primary gone, complete backup silent: waits for it", true,
        { statusOf(1, false, true), statusOf(2, false), statusOf(3) }, 2, 0, false },
    { "both silent: nobody else may take over", true, { statusOf(1, false), statusOf(2, false), statusOf(3) }, 1, 2,
        false },
    { "both gone: lost", true, { statusOf(1, false, true), statusOf(2, false, true), statusOf(3) }, 3, 0, true },
    { "silent backup", true, { statusOf(1), statusOf(2, false), statusOf(3) }, 1, 3, false },
    { "leaving primary", true, { statusOf(1, true, false, true), statusOf(2), statusOf(3) }, 2, 3, false },
    { "leaving primary, incomplete backup: first the records", false, { statusOf(1, true, false, true), statusOf(2) },
        1, 2, false },
};

}

TEST_GROUP(OwnershipPlanner){};

TEST(OwnershipPlanner, MovesSlotsOnlyWhereRecordsAreComplete)
{
    for (const Case& item : Cases) {
        OwnershipPlanner planner({ .spreads = false });
        const auto next = planner.plan(pairOfTwo(item.backupComplete), item.statuses, {});
        if (!item.primary) {
            CHECK_FALSE_TEXT(next.has_value(), item.name);
            continue;
        }
        const peers::Ownership present = next ? *next : pairOfTwo(item.backupComplete);
        LONGS_EQUAL_TEXT(item.primary, numberOf(primaryOf(present, 0)), item.name);
        LONGS_EQUAL_TEXT(item.backup, numberOf(backupOf(present, 0)), item.name);
        CHECK_EQUAL_TEXT(item.lost, present.slots(0).lost_epoch() != 0, item.name);
    }
}

TEST(OwnershipPlanner, MarksABackupCompleteOnlyForTheVersionItTookOver)
{
    peers::SlotVersion right;
    right.set_slot(0);
    right.set_epoch(5);
    peers::SlotVersion stale;
    stale.set_slot(1);
    stale.set_epoch(4);
    const std::vector<MemberStatus> both{ statusOf(1), statusOf(2) };
    OwnershipPlanner planner({ .spreads = false });
    const auto next = planner.plan(pairOfTwo(false), both, std::vector<peers::SlotVersion>{ right, stale });
    CHECK(next->slots(0).backup_complete());
    CHECK_FALSE(next->slots(1).backup_complete());
    LONGS_EQUAL(5, next->slots(0).changed_epoch());
}

TEST(OwnershipPlanner, SpreadsSlotsOverAllMembersAndComesToRest)
{
    std::vector<MemberStatus> members{ statusOf(1), statusOf(2), statusOf(3), statusOf(4) };
    peers::Ownership present = pairOfTwo(true);
    int rounds = 0;
    for (; rounds < 200; ++rounds) {
        OwnershipPlanner planner({});
        std::vector<peers::SlotVersion> completed;
        for (std::size_t slot = 0; slot < SlotCount; ++slot) {
            peers::SlotVersion version;
            version.set_slot(static_cast<std::uint32_t>(slot));
            version.set_epoch(present.slots(static_cast<int>(slot)).changed_epoch());
            completed.push_back(version);
        }
        const auto next = planner.plan(present, members, completed);
        if (!next)
            break;
        present = *next;
    }
    CHECK(rounds < 200);
    std::vector<int> primaries(5, 0);
    for (std::size_t slot = 0; slot < SlotCount; ++slot)
        ++primaries[numberOf(primaryOf(present, slot))];
    for (int member = 1; member <= 4; ++member)
        CHECK(primaries[static_cast<std::size_t>(member)] > static_cast<int>(SlotCount) / 8);
}
