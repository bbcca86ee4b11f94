#include "Ownership/ProbePermits.h"

#include "Exchange/MemberAddress.h"

#include <algorithm>
#include <utility>

namespace burlreach {

ProbePermits::ProbePermits(Options givenOptions)
    : options(givenOptions)
    , ownership(std::make_shared<const peers::Ownership>())
    , slots(SlotCount)
    , usedSlots(SlotCount, true)
{
}

void ProbePermits::adopt(std::shared_ptr<const peers::Ownership> next, Milliseconds now)
{
    this->ownership = std::move(next);
    for (std::size_t slot = 0; slot < SlotCount; ++slot) {
        OwnedSlot& owned = this->slots[slot];
        const bool isPrimary = isIncarnation(primaryOf(*this->ownership, slot), this->options.incarnation);
        if (isPrimary && !owned.isPrimary)
            owned.notBefore = now + this->options.handover;
        owned.isPrimary = isPrimary;
        const std::uint32_t version = this->ownership->slots(static_cast<int>(slot)).changed_epoch();
        if (owned.version != version)
            owned.until = LongAgo;
        owned.version = version;
    }
    this->nextAsk = LongAgo;
}

void ProbePermits::requested(
    const peers::ProbePermitRequest& request, const peers::Incarnation& from, Outbox& outbox) const
{
    peers::PeerMessage message;
    peers::ProbePermit* permit = message.mutable_probe_permit();
    const peers::Member* asking = nullptr;
    for (const peers::SlotVersion& version : request.slots()) {
        const std::size_t slot = version.slot();
        if (slot >= SlotCount || this->slots[slot].version != version.epoch())
            continue;
        const peers::Member* primary = primaryOf(*this->ownership, slot);
        const bool isBackup = isIncarnation(backupOf(*this->ownership, slot), this->options.incarnation);
        if (!isBackup || !isIncarnation(primary, from.number()))
            continue;
        asking = primary;
        *permit->add_slots() = version;
    }
    if (!asking)
        return;
    permit->set_number(request.number());
    outbox.sendToPeer(addressOf(*asking), std::move(message));
}

void ProbePermits::permitted(const peers::ProbePermit& permit, const peers::Incarnation& from)
{
    const auto isAsked = [&](const Question& question) { return question.number == permit.number(); };
    const auto question = std::find_if(this->questions.begin(), this->questions.end(), isAsked);
    if (question == this->questions.end())
        return;
    for (const peers::SlotVersion& version : permit.slots()) {
        const std::size_t slot = version.slot();
        if (slot >= SlotCount || this->slots[slot].version != version.epoch())
            continue;
        if (isIncarnation(backupOf(*this->ownership, slot), from.number()))
            this->slots[slot].until = std::max(this->slots[slot].until, question->sentAt + this->options.valid);
    }
}

void ProbePermits::tick(Milliseconds now, Outbox& outbox)
{
    if (now < this->nextAsk || !this->ownership->epoch())
        return;
    this->nextAsk = now + this->options.asked;
    std::erase_if(
        this->questions, [&](const Question& question) { return now - question.sentAt > this->options.valid; });
    this->ask(now, outbox);
}

void ProbePermits::ask(Milliseconds now, Outbox& outbox)
{
    // One message to each backup, however many slots it shares with this one.
    std::vector<peers::PeerMessage> messages(static_cast<std::size_t>(this->ownership->members_size()));
    for (std::size_t slot = 0; slot < SlotCount; ++slot) {
        const std::uint32_t backup = this->ownership->slots(static_cast<int>(slot)).backup();
        if (!this->usedSlots[slot] || !this->slots[slot].isPrimary || !backup)
            continue;
        peers::SlotVersion* version = messages[backup - 1].mutable_probe_permit_request()->add_slots();
        version->set_slot(static_cast<std::uint32_t>(slot));
        version->set_epoch(this->slots[slot].version);
    }
    for (std::size_t index = 0; index < messages.size(); ++index) {
        if (!messages[index].has_probe_permit_request())
            continue;
        messages[index].mutable_probe_permit_request()->set_number(++this->lastNumber);
        this->questions.push_back({ .number = this->lastNumber, .sentAt = now });
        const peers::Member& backup = this->ownership->members(static_cast<int>(index));
        outbox.sendToPeer(addressOf(backup), std::move(messages[index]));
    }
}

bool ProbePermits::mayProbe(std::size_t slot, Milliseconds now) const
{
    const OwnedSlot& owned = this->slots[slot];
    if (!owned.isPrimary || now < owned.notBefore)
        return false;
    const bool isAlone = !backupOf(*this->ownership, slot);
    return isAlone || now < owned.until;
}

}
