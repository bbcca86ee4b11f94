#include "Ownership/SlotMap.h"

#include "Base/Hash.h"

namespace burlreach {

namespace {

constexpr std::uint64_t SlotSeed = 3;

const peers::Member* memberAt(const peers::Ownership& ownership, std::uint32_t reference)
{
    if (!reference || reference > static_cast<std::uint32_t>(ownership.members_size()))
        return nullptr;
    return &ownership.members(static_cast<int>(reference) - 1);
}

}

std::size_t slotOf(std::string_view key)
{
    return static_cast<std::size_t>(hashOf(key, SlotSeed) % SlotCount);
}

const peers::Member* primaryOf(const peers::Ownership& ownership, std::size_t slot)
{
    if (slot >= static_cast<std::size_t>(ownership.slots_size()))
        return nullptr;
    return memberAt(ownership, ownership.slots(static_cast<int>(slot)).primary());
}

const peers::Member* backupOf(const peers::Ownership& ownership, std::size_t slot)
{
    if (slot >= static_cast<std::size_t>(ownership.slots_size()))
        return nullptr;
    return memberAt(ownership, ownership.slots(static_cast<int>(slot)).backup());
}

bool isIncarnation(const peers::Member* member, std::uint64_t incarnation)
{
    return member && member->incarnation().number() == incarnation;
}

}
