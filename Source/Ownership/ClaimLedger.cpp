#include "Ownership/ClaimLedger.h"

#include "Exchange/MemberAddress.h"
#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

ClaimEntry entryOf(const peers::Claim& claim, Milliseconds now)
{
    ClaimEntry entry;
    entry.holder = { .incarnation = claim.claimant().number(), .number = claim.number() };
    entry.attempt = claim.attempt();
    entry.closed = claim.close();
    entry.at = now;
    return entry;
}

}

ClaimLedger::ClaimLedger(Options givenOptions)
    : options(givenOptions)
    , ownership(std::make_shared<const peers::Ownership>())
    , slots(SlotCount)
{
}

void ClaimLedger::adopt(std::shared_ptr<const peers::Ownership> next, Milliseconds now, Outbox& outbox)
{
    this->ownership = std::move(next);
    for (std::size_t slot = 0; slot < SlotCount; ++slot)
        this->adoptSlot(slot, now, outbox);
}

void ClaimLedger::adoptSlot(std::size_t slot, Milliseconds now, Outbox& outbox)
{
    OwnedSlot& owned = this->slots[slot];
    const peers::Slot& stored = this->ownership->slots(static_cast<int>(slot));
    if (owned.version == stored.changed_epoch())
        return;
    owned.version = stored.changed_epoch();
    owned.synced = false;
    owned.nextSync = Never;
    owned.role = Role::None;
    if (isIncarnation(primaryOf(*this->ownership, slot), this->options.incarnation))
        owned.role = Role::Primary;
    else if (isIncarnation(backupOf(*this->ownership, slot), this->options.incarnation))
        owned.role = Role::Backup;
    if (owned.role == Role::None) {
        owned.records.clear();
        owned.lostUntil = LongAgo;
    }
    if (owned.role != Role::Primary)
        return;
    if (stored.lost_epoch() == stored.changed_epoch())
        owned.lostUntil = now + this->options.kept;
    if (backupOf(*this->ownership, slot))
        this->sendRecords(slot, now, outbox);
    else
        owned.synced = true;
}

void ClaimLedger::sendRecords(std::size_t slot, Milliseconds now, Outbox& outbox)
{
    OwnedSlot& owned = this->slots[slot];
    const peers::Member* backup = backupOf(*this->ownership, slot);
    owned.nextSync = backup ? now + this->options.syncRepeat : Never;
    if (!backup)
        return;
    peers::PeerMessage message;
    peers::SlotRecords* records = message.mutable_slot_records();
    records->mutable_slot()->set_slot(static_cast<std::uint32_t>(slot));
    records->mutable_slot()->set_epoch(owned.version);
    if (now < owned.lostUntil) {
        const Milliseconds lostAt = owned.lostUntil - this->options.kept;
        records->set_lost(true);
        records->set_lost_age_milliseconds(static_cast<std::uint32_t>(std::max(0.0, (now - lostAt).count)));
    }
    owned.records.write(*records, now);
    outbox.sendToPeer(addressOf(*backup), std::move(message));
}

bool ClaimLedger::recordsReceived(
    const peers::SlotRecords& message, const peers::Incarnation& from, Milliseconds now, Outbox& outbox)
{
    const std::size_t slot = message.slot().slot();
    if (slot >= SlotCount)
        return false;
    OwnedSlot& owned = this->slots[slot];
    if (message.slot().epoch() > owned.version)
        return true;
    const bool isFromPrimary = isIncarnation(primaryOf(*this->ownership, slot), from.number());
    if (message.slot().epoch() < owned.version || owned.role != Role::Backup || !isFromPrimary)
        return false;
    owned.records.merge(message, now);
    if (message.lost()) {
        const Milliseconds lostAt = now - Milliseconds{ static_cast<double>(message.lost_age_milliseconds()) };
        owned.lostUntil = std::max(owned.lostUntil, lostAt + this->options.kept);
    }
    peers::PeerMessage answer;
    *answer.mutable_slot_records_kept()->mutable_slot() = message.slot();
    outbox.sendToPeer(addressOf(*primaryOf(*this->ownership, slot)), std::move(answer));
    return false;
}

void ClaimLedger::recordsKept(const peers::SlotRecordsKept& message, const peers::Incarnation& from)
{
    const std::size_t slot = message.slot().slot();
    if (slot >= SlotCount)
        return;
    OwnedSlot& owned = this->slots[slot];
    const bool isFromBackup = isIncarnation(backupOf(*this->ownership, slot), from.number());
    if (owned.role != Role::Primary || owned.version != message.slot().epoch() || !isFromBackup)
        return;
    owned.synced = true;
    owned.nextSync = Never;
}

void ClaimLedger::claim(const peers::Claim& claim, const peers::Incarnation& from, Milliseconds now, Outbox& outbox)
{
    const std::size_t slot = slotOf(claim.request_id());
    const OwnedSlot& owned = this->slots[slot];
    const bool isPassedOn
        = from.number() != claim.claimant().number() || isIncarnation(primaryOf(*this->ownership, slot), from.number());
    const bool isCurrent = owned.version == claim.slot_epoch();
    if (isCurrent && owned.role == Role::Backup && isIncarnation(primaryOf(*this->ownership, slot), from.number()))
        return this->claimAsBackup(slot, claim, now, outbox);
    if (isCurrent && owned.role == Role::Primary && owned.synced)
        return claim.close() ? this->closeAsPrimary(slot, claim, now, outbox)
                             : this->claimAsPrimary(slot, claim, now, outbox);
    if (!isPassedOn && !claim.close())
        this->answer(claim, peers::ClaimAnswer::NOT_OWNER, outbox);
}

peers::ClaimAnswer::Result ClaimLedger::judge(std::size_t slot, const peers::Claim& claim, Milliseconds now)
{
    OwnedSlot& owned = this->slots[slot];
    const ClaimEntry* known = owned.records.find(claim.request_id());
    const ClaimHolder holder = entryOf(claim, now).holder;
    if (!known) {
        if (now < owned.lostUntil && !claim.issued())
            return peers::ClaimAnswer::RECORDS_LOST;
        if (this->recordCount() >= this->options.mostRecords)
            return peers::ClaimAnswer::NO_ROOM;
        return peers::ClaimAnswer::GRANTED;
    }
    if (known->holder == holder)
        return known->closed ? peers::ClaimAnswer::CLOSED_NOT_RUN : peers::ClaimAnswer::GRANTED;
    if (!known->closed)
        return peers::ClaimAnswer::TAKEN;
    return claim.attempt() > known->attempt ? peers::ClaimAnswer::GRANTED : peers::ClaimAnswer::CLOSED_NOT_RUN;
}

void ClaimLedger::claimAsPrimary(std::size_t slot, const peers::Claim& claim, Milliseconds now, Outbox& outbox)
{
    const peers::ClaimAnswer::Result result = this->judge(slot, claim, now);
    if (result == peers::ClaimAnswer::CLOSED_NOT_RUN)
        return this->passOnClosed(slot, claim, now, outbox);
    if (result != peers::ClaimAnswer::GRANTED)
        return this->answer(claim, result, outbox);
    ClaimRecords& records = this->slots[slot].records;
    const ClaimEntry entry = entryOf(claim, now);
    const ClaimEntry* known = records.find(claim.request_id());
    if (!known || !(known->holder == entry.holder))
        records.put(claim.request_id(), entry);
    this->passOn(slot, claim, outbox);
}

void ClaimLedger::closeAsPrimary(std::size_t slot, const peers::Claim& claim, Milliseconds now, Outbox& outbox)
{
    ClaimRecords& records = this->slots[slot].records;
    const ClaimEntry entry = entryOf(claim, now);
    const ClaimEntry* known = records.find(claim.request_id());
    if (known && !(known->holder == entry.holder))
        return;
    // Without its records nobody can say that the id was never run.
    if (!known && now < this->slots[slot].lostUntil)
        return;
    records.put(claim.request_id(), entry);
    this->passOn(slot, claim, outbox);
}

void ClaimLedger::passOn(std::size_t slot, const peers::Claim& claim, Outbox& outbox) const
{
    const peers::Member* backup = backupOf(*this->ownership, slot);
    if (!backup) {
        if (!claim.close())
            this->answer(claim, peers::ClaimAnswer::GRANTED, outbox);
        return;
    }
    peers::PeerMessage message;
    *message.mutable_claim() = claim;
    outbox.sendToPeer(addressOf(*backup), std::move(message));
}

void ClaimLedger::passOnClosed(std::size_t slot, const peers::Claim& claim, Milliseconds now, Outbox& outbox)
{
    const peers::Member* backup = backupOf(*this->ownership, slot);
    if (!backup)
        return this->answer(claim, peers::ClaimAnswer::CLOSED_NOT_RUN, outbox);
    const ClaimEntry* known = this->slots[slot].records.find(claim.request_id());
    peers::PeerMessage message;
    *message.mutable_claim() = claim;
    writeRecord(claim.request_id(), *known, now, *message.mutable_claim()->mutable_closed_by());
    outbox.sendToPeer(addressOf(*backup), std::move(message));
}

void ClaimLedger::claimAsBackup(std::size_t slot, const peers::Claim& claim, Milliseconds now, Outbox& outbox)
{
    if (claim.has_closed_by()) {
        this->slots[slot].records.put(claim.request_id(), readRecord(claim.closed_by(), now));
        return this->answer(claim, peers::ClaimAnswer::CLOSED_NOT_RUN, outbox);
    }
    ClaimRecords& records = this->slots[slot].records;
    const ClaimEntry entry = entryOf(claim, now);
    const ClaimEntry* known = records.find(claim.request_id());
    // A claim that was overtaken by its own closing grants nothing.
    const bool isClosedAlready = known && known->holder == entry.holder && known->closed;
    if (isClosedAlready)
        return;
    records.put(claim.request_id(), entry);
    if (!claim.close())
        this->answer(claim, peers::ClaimAnswer::GRANTED, outbox);
}

void ClaimLedger::answer(const peers::Claim& claim, peers::ClaimAnswer::Result result, Outbox& outbox) const
{
    peers::PeerMessage message;
    peers::ClaimAnswer* answer = message.mutable_claim_answer();
    answer->set_result(result);
    answer->set_number(claim.number());
    answer->set_ownership_epoch(this->ownership->epoch());
    const NetworkAddress address{ .host = claim.claimant_address(),
        .port = static_cast<std::uint16_t>(claim.claimant_port()) };
    outbox.sendToPeer(address, std::move(message));
}

void ClaimLedger::tick(Milliseconds now, Outbox& outbox)
{
    for (std::size_t slot = 0; slot < SlotCount; ++slot) {
        if (now >= this->slots[slot].nextSync)
            this->sendRecords(slot, now, outbox);
    }
    if (now < this->nextExpiry)
        return;
    this->nextExpiry = now + this->options.expiryInterval;
    for (OwnedSlot& owned : this->slots)
        owned.records.expire(now - this->options.kept);
}

std::vector<peers::SlotVersion> ClaimLedger::completedSlots() const
{
    std::vector<peers::SlotVersion> found;
    for (std::size_t slot = 0; slot < SlotCount; ++slot) {
        const OwnedSlot& owned = this->slots[slot];
        if (owned.role != Role::Primary || !owned.synced || !backupOf(*this->ownership, slot))
            continue;
        if (this->ownership->slots(static_cast<int>(slot)).backup_complete())
            continue;
        peers::SlotVersion version;
        version.set_slot(static_cast<std::uint32_t>(slot));
        version.set_epoch(owned.version);
        found.push_back(version);
    }
    return found;
}

bool ClaimLedger::grantsNow(std::size_t slot, Milliseconds now) const
{
    const OwnedSlot& owned = this->slots[slot];
    return owned.role == Role::Primary && owned.synced && now >= owned.lostUntil;
}

std::size_t ClaimLedger::recordCount() const
{
    std::size_t sum = 0;
    for (const OwnedSlot& owned : this->slots)
        sum += owned.records.size();
    return sum;
}

}
