#include "Ownership/OwnershipProposer.h"

#include "Exchange/MemberAddress.h"
#include "Ownership/SlotMap.h"

#include <algorithm>

namespace burlreach {

namespace {

/** Planning costs time at large sizes and is not repeated faster than this. */
constexpr Milliseconds PlanGap{ 200 };
constexpr double HeartbeatsToAnswer = 2;

peers::PeerMessage question()
{
    peers::PeerMessage message;
    message.mutable_heartbeat()->set_answer_wanted(true);
    return message;
}

const peers::Member* findMember(const peers::Ownership& ownership, std::uint64_t incarnation)
{
    for (const peers::Member& member : ownership.members()) {
        if (member.incarnation().number() == incarnation)
            return &member;
    }
    return nullptr;
}

}

OwnershipProposer::OwnershipProposer(
    Options givenOptions, OwnershipListener& givenListener, StoreCallNumbers& givenNumbers, Random& givenRandom)
    : options(givenOptions)
    , listener(&givenListener)
    , numbers(&givenNumbers)
    , random(&givenRandom)
    , backoff({ .first = givenOptions.shortestGap, .longest = { 5000 } })
{
}

void OwnershipProposer::reportSuspected(
    const peers::Incarnation& incarnation, const OwnershipView& view, Milliseconds now, Outbox& outbox)
{
    const auto isSame = [&](const Suspect& suspect) { return suspect.incarnation.number() == incarnation.number(); };
    const auto known = std::find_if(this->suspects.begin(), this->suspects.end(), isSame);
    if (known != this->suspects.end()) {
        known->reportedAt = now;
        return;
    }
    const peers::Member* member = findMember(*view.ownership, incarnation.number());
    if (!member)
        return;
    this->suspects.push_back({ .incarnation = incarnation, .askedAt = now, .reportedAt = now });
    outbox.sendToPeer(addressOf(*member), question());
}

void OwnershipProposer::reportJoining(const peers::Member& member, Milliseconds now)
{
    const auto isSame
        = [&](const Joiner& joiner) { return joiner.member.incarnation().name() == member.incarnation().name(); };
    std::erase_if(this->joiners, isSame);
    this->joiners.push_back({ .member = member, .reportedAt = now });
}

void OwnershipProposer::reportCompleted(const peers::SlotVersion& version)
{
    if (version.slot() >= SlotCount)
        return;
    const auto isSame = [&](const peers::SlotVersion& known) { return known.slot() == version.slot(); };
    std::erase_if(this->completed, isSame);
    this->completed.push_back(version);
}

void OwnershipProposer::ownershipChanged(const peers::Ownership& ownership, Milliseconds now)
{
    this->changedAt = now;
    this->neededSince = Never;
    this->nextPlan = LongAgo;
    std::erase_if(this->completed, [&](const peers::SlotVersion& version) {
        const peers::Slot& slot = ownership.slots(static_cast<int>(version.slot()));
        return slot.changed_epoch() != version.epoch() || slot.backup_complete();
    });
}

bool OwnershipProposer::isUnreachable(
    std::uint64_t incarnation, const MemberDirectory& directory, Milliseconds now) const
{
    for (const Suspect& suspect : this->suspects) {
        if (suspect.incarnation.number() != incarnation)
            continue;
        const bool answered = directory.heardAt(suspect.incarnation) > suspect.askedAt;
        const bool hadTime = now - suspect.askedAt > this->options.heartbeatInterval * HeartbeatsToAnswer;
        return !answered && hadTime;
    }
    return false;
}

void OwnershipProposer::forgetOldReports(const OwnershipView& view, Milliseconds now)
{
    std::erase_if(this->suspects, [&](const Suspect& suspect) {
        const bool answered = view.directory->heardAt(suspect.incarnation) > suspect.askedAt;
        return answered || now - suspect.reportedAt > this->options.reportKept;
    });
    std::erase_if(this->joiners, [&](const Joiner& joiner) {
        return now - joiner.reportedAt > this->options.reportKept
            || findMember(*view.ownership, joiner.member.incarnation().number());
    });
}

std::vector<MemberStatus> OwnershipProposer::statuses(
    const peers::Ownership& ownership, const OwnershipView& view, Milliseconds now) const
{
    std::vector<MemberStatus> found;
    for (const peers::Member& member : ownership.members()) {
        const KnownInstance* known = view.directory->find(member.incarnation().name());
        const bool isSelf = member.incarnation().number() == view.self.incarnation().number();
        MemberStatus status;
        status.member = member;
        status.gone = view.directory->isGone(member.incarnation().number());
        status.reachable = isSelf || !this->isUnreachable(member.incarnation().number(), *view.directory, now);
        const bool saysSo = known
            && (known->listedLeaving || (known->incarnation == member.incarnation().number() && known->saidLeaving));
        status.member.set_leaving(member.leaving() || saysSo || (isSelf && view.self.leaving()));
        found.push_back(std::move(status));
    }
    for (const Joiner& joiner : this->joiners) {
        const std::uint64_t number = joiner.member.incarnation().number();
        if (!findMember(ownership, number) && !view.directory->isGone(number) && !joiner.member.leaving())
            found.push_back({ .member = joiner.member, .reachable = true, .gone = false });
    }
    if (!findMember(ownership, view.self.incarnation().number()) && !view.self.leaving())
        found.push_back({ .member = view.self, .reachable = true, .gone = false });
    return found;
}

std::optional<peers::Ownership> OwnershipProposer::plan(
    const peers::Ownership& ownership, const OwnershipView& view, Milliseconds now) const
{
    const bool isQuiet = now - this->changedAt > this->options.spreadGap;
    OwnershipPlanner planner({ .slotsMovedAtOnce = 32, .spreads = isQuiet });
    return planner.plan(ownership, this->statuses(ownership, view, now), this->completed);
}

bool OwnershipProposer::mayPropose(const OwnershipView& view, Milliseconds now)
{
    if (!view.rank || now < this->earliest || now < this->nextPlan)
        return false;
    if (!view.ownership->epoch() && now - this->startedAt < this->options.firstWait)
        return false;
    this->nextPlan = now + PlanGap;
    if (!this->plan(*view.ownership, view, now)) {
        this->neededSince = Never;
        return false;
    }
    this->neededSince = std::min(this->neededSince, now);
    return now - this->neededSince >= this->options.rankDelay * static_cast<double>(*view.rank);
}

void OwnershipProposer::tick(const OwnershipView& view, Milliseconds now, Outbox& outbox)
{
    this->startedAt = std::min(this->startedAt, now);
    this->forgetOldReports(view, now);
    if (this->phase != Phase::Idle && now >= this->answerDue)
        this->rest(now);
    if (this->phase == Phase::Idle && this->mayPropose(view, now))
        this->read(now, outbox);
}

void OwnershipProposer::read(Milliseconds now, Outbox& outbox)
{
    this->phase = Phase::Reading;
    this->answerDue = now + this->options.storeAnswerTimeout;
    this->storeCall = this->numbers->next();
    outbox.askStore({ .number = this->storeCall,
        .operation = StoreOperation::Read,
        .document = StoreDocument::Ownership,
        .value = {},
        .expectedIndex = NoStoreIndex });
}

bool OwnershipProposer::storeAnswered(
    const StoreAnswer& answer, const OwnershipView& view, Milliseconds now, Outbox& outbox)
{
    if (this->phase == Phase::Idle || answer.number != this->storeCall)
        return false;
    if (this->phase == Phase::Reading) {
        this->readAnswered(answer, view, now, outbox);
        return true;
    }
    // A lost answer needs no care: the next read shows whether it was written.
    const bool isWritten = answer.status == StoreStatus::Done;
    this->rest(now);
    if (isWritten) {
        this->backoff.reset();
        this->earliest = now + this->options.shortestGap;
        this->listener->ownershipRead(this->proposed);
    }
    return true;
}

void OwnershipProposer::readAnswered(
    const StoreAnswer& answer, const OwnershipView& view, Milliseconds now, Outbox& outbox)
{
    peers::Ownership stored;
    const bool isRead = answer.status == StoreStatus::Done && stored.ParseFromString(answer.value);
    if (!isRead && answer.status != StoreStatus::Missing)
        return this->rest(now);
    if (stored.epoch() > view.ownership->epoch()) {
        this->rest(now);
        return this->listener->ownershipRead(stored);
    }
    // A store that went back to an older document is healed by this write.
    auto next = this->plan(*view.ownership, view, now);
    if (!next)
        return this->rest(now);
    this->write(std::move(*next), answer.index, now, outbox);
}

void OwnershipProposer::write(peers::Ownership ownership, std::uint64_t index, Milliseconds now, Outbox& outbox)
{
    this->phase = Phase::Writing;
    this->answerDue = now + this->options.storeAnswerTimeout;
    this->storeCall = this->numbers->next();
    this->proposed = std::move(ownership);
    outbox.askStore({ .number = this->storeCall,
        .operation = StoreOperation::Write,
        .document = StoreDocument::Ownership,
        .value = this->proposed.SerializeAsString(),
        .expectedIndex = index });
}

void OwnershipProposer::rest(Milliseconds now)
{
    this->phase = Phase::Idle;
    this->storeCall = 0;
    this->earliest = now + this->backoff.next(*this->random);
}

}
