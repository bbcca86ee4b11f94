#include "Ownership/OwnershipPlanner.h"

#include "Base/Hash.h"
#include "Ownership/SlotMap.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

std::uint64_t weight(const peers::Member& member, std::size_t slot)
{
    return hashOf(member.incarnation().name(), slot + 1);
}

}

OwnershipPlanner::OwnershipPlanner(Options givenOptions)
    : options(givenOptions)
{
}

std::optional<peers::Ownership> OwnershipPlanner::plan(const peers::Ownership& present,
    std::span<const MemberStatus> givenStatuses, std::span<const peers::SlotVersion> completed)
{
    this->statuses = givenStatuses;
    this->readDrafts(present);
    const std::vector<Draft> before = this->drafts;
    const std::uint32_t epoch = present.epoch() + 1;
    this->markCompleted(completed);
    for (std::size_t slot = 0; slot < SlotCount; ++slot)
        this->repair(slot, epoch);
    const bool isUrgent = this->drafts != before || this->membersChanged(present);
    if (!isUrgent && this->options.spreads)
        this->spread(epoch);
    if (this->drafts == before && !this->membersChanged(present))
        return std::nullopt;
    return this->write(epoch);
}

std::optional<std::size_t> OwnershipPlanner::indexOf(const peers::Member* member) const
{
    if (!member)
        return std::nullopt;
    for (std::size_t index = 0; index < this->statuses.size(); ++index) {
        if (this->statuses[index].member.incarnation().number() == member->incarnation().number())
            return index;
    }
    return std::nullopt;
}

void OwnershipPlanner::readDrafts(const peers::Ownership& present)
{
    this->drafts.assign(SlotCount, {});
    for (std::size_t slot = 0; slot < static_cast<std::size_t>(present.slots_size()) && slot < SlotCount; ++slot) {
        const peers::Slot& stored = present.slots(static_cast<int>(slot));
        Draft& draft = this->drafts[slot];
        draft.primary = this->indexOf(primaryOf(present, slot));
        draft.backup = this->indexOf(backupOf(present, slot));
        draft.backupComplete = stored.backup_complete();
        draft.changedEpoch = stored.changed_epoch();
        draft.lostEpoch = stored.lost_epoch();
    }
}

void OwnershipPlanner::markCompleted(std::span<const peers::SlotVersion> completed)
{
    for (const peers::SlotVersion& version : completed) {
        if (version.slot() >= SlotCount)
            continue;
        Draft& draft = this->drafts[version.slot()];
        if (draft.changedEpoch == version.epoch() && draft.backup)
            draft.backupComplete = true;
    }
}

bool OwnershipPlanner::isUsable(std::optional<std::size_t> member) const
{
    if (!member)
        return false;
    const MemberStatus& status = this->statuses[*member];
    return status.reachable && !status.gone && !status.member.leaving();
}

bool OwnershipPlanner::isGone(std::optional<std::size_t> member) const
{
    return !member || this->statuses[*member].gone;
}

std::optional<std::size_t> OwnershipPlanner::best(std::size_t slot, std::optional<std::size_t> except) const
{
    const auto isNearer = [&](std::size_t left, std::size_t right) {
        // The copy belongs into another data centre where there is one.
        if (except) {
            const std::string& dataCentre = this->statuses[*except].member.data_centre();
            const bool leftApart = this->statuses[left].member.data_centre() != dataCentre;
            const bool rightApart = this->statuses[right].member.data_centre() != dataCentre;
            if (leftApart != rightApart)
                return leftApart;
        }
        return weight(this->statuses[left].member, slot) > weight(this->statuses[right].member, slot);
    };
    std::optional<std::size_t> found;
    for (std::size_t index = 0; index < this->statuses.size(); ++index) {
        if (this->isUsable(index) && index != except && (!found || isNearer(index, *found)))
            found = index;
    }
    return found;
}

void OwnershipPlanner::repair(std::size_t slot, std::uint32_t epoch)
{
    Draft& draft = this->drafts[slot];
    const Draft before = draft;
    this->choosePrimary(draft, slot, epoch);
    this->chooseBackup(draft, slot);
    if (draft.primary != before.primary || draft.backup != before.backup)
        draft.changedEpoch = epoch;
}

void OwnershipPlanner::choosePrimary(Draft& draft, std::size_t slot, std::uint32_t epoch) const
{
    if (this->isUsable(draft.primary))
        return;
    const bool primaryGone = this->isGone(draft.primary);
    const bool backupHasAll = draft.backupComplete && !this->isGone(draft.backup);
    if (backupHasAll && (primaryGone || this->isUsable(draft.backup))) {
        draft.primary = std::exchange(draft.backup, std::nullopt);
        draft.backupComplete = false;
        return;
    }
    if (!primaryGone)
        return;
    const bool isNew = !draft.changedEpoch;
    const auto chosen = this->best(slot, std::nullopt);
    if (!chosen)
        return;
    draft = { .primary = chosen,
        .backup = std::nullopt,
        .backupComplete = false,
        .changedEpoch = epoch,
        .lostEpoch = isNew ? 0 : epoch };
}

void OwnershipPlanner::chooseBackup(Draft& draft, std::size_t slot) const
{
    const bool primaryCanSync
        = draft.primary && this->statuses[*draft.primary].reachable && !this->isGone(draft.primary);
    if (!primaryCanSync || this->isUsable(draft.backup))
        return;
    draft.backup = this->best(slot, draft.primary);
    draft.backupComplete = false;
}

void OwnershipPlanner::spread(std::uint32_t epoch)
{
    std::size_t moved = 0;
    for (std::size_t slot = 0; slot < SlotCount && moved < this->options.slotsMovedAtOnce; ++slot) {
        if (!this->spreadSlot(slot))
            continue;
        this->drafts[slot].changedEpoch = epoch;
        ++moved;
    }
}

bool OwnershipPlanner::spreadSlot(std::size_t slot)
{
    Draft& draft = this->drafts[slot];
    const auto wanted = this->best(slot, std::nullopt);
    const bool isSettled = this->isUsable(draft.primary) && this->isUsable(draft.backup) && draft.backupComplete;
    if (!isSettled || !wanted || draft.primary == wanted)
        return false;
    if (draft.backup == wanted) {
        std::swap(draft.primary, draft.backup);
        return true;
    }
    draft.backup = wanted;
    draft.backupComplete = false;
    return true;
}

bool OwnershipPlanner::isKept(std::size_t member) const
{
    const MemberStatus& status = this->statuses[member];
    if (status.gone)
        return false;
    const bool isOwner = std::any_of(this->drafts.begin(), this->drafts.end(),
        [member](const Draft& draft) { return draft.primary == member || draft.backup == member; });
    return isOwner || (status.reachable && !status.member.leaving());
}

bool OwnershipPlanner::membersChanged(const peers::Ownership& present) const
{
    std::size_t kept = 0;
    for (std::size_t index = 0; index < this->statuses.size(); ++index) {
        if (!this->isKept(index))
            continue;
        ++kept;
        const peers::Member& member = this->statuses[index].member;
        const auto isSame = [&](const peers::Member& other) {
            return other.incarnation().number() == member.incarnation().number() && other.leaving() == member.leaving();
        };
        if (std::none_of(present.members().begin(), present.members().end(), isSame))
            return true;
    }
    return kept != static_cast<std::size_t>(present.members_size());
}

peers::Ownership OwnershipPlanner::write(std::uint32_t epoch) const
{
    peers::Ownership next;
    next.set_epoch(epoch);
    std::vector<std::uint32_t> references(this->statuses.size(), 0);
    for (std::size_t index = 0; index < this->statuses.size(); ++index) {
        if (!this->isKept(index))
            continue;
        *next.add_members() = this->statuses[index].member;
        references[index] = static_cast<std::uint32_t>(next.members_size());
    }
    const auto reference = [&](std::optional<std::size_t> member) { return member ? references[*member] : 0; };
    for (const Draft& draft : this->drafts) {
        peers::Slot* slot = next.add_slots();
        slot->set_changed_epoch(draft.changedEpoch);
        slot->set_primary(reference(draft.primary));
        slot->set_backup(reference(draft.backup));
        slot->set_backup_complete(draft.backupComplete);
        slot->set_lost_epoch(draft.lostEpoch);
    }
    return next;
}

}
