#include "Quotas/CreditShareLease.h"

#include <algorithm>

namespace burlreach {

std::string_view nameOf(CreditShareLease::State state)
{
    switch (state) {
    case CreditShareLease::State::Free:
        return "free";
    case CreditShareLease::State::Held:
        return "held";
    case CreditShareLease::State::Waiting:
        return "waiting";
    case CreditShareLease::State::Unconfirmed:
        return "unconfirmed";
    case CreditShareLease::State::Granting:
        break;
    }
    return "granting";
}

bool CreditShareLease::isHeldHere() const
{
    return this->grantor && !this->grantor->released() && !grantsWholeQuota(*this->grantor)
        && isSameIncarnation(this->grantor->member(), this->options->self);
}

bool CreditShareLease::isHeldByEarlierRun() const
{
    if (!this->grantor || this->grantor->released() || grantsWholeQuota(*this->grantor))
        return false;
    const peers::Member& member = this->grantor->member();
    return member.incarnation().name() == this->options->self.incarnation().name()
        // Numbers follow the wall clock, which may have been set back; the address shows that the run has ended.
        && member.incarnation().number() != this->options->self.incarnation().number()
        && isSameAddress(member, this->options->self);
}

bool CreditShareLease::mayWriteAddress(Milliseconds now) const
{
    if (this->isWaiting())
        return now >= this->waitEnd;
    return this->isHeldByEarlierRun() || (this->isHeldHere() && this->hasStopped);
}

const peers::Member* CreditShareLease::holder() const
{
    return this->grantor && !this->grantor->released() ? &this->grantor->member() : nullptr;
}

void CreditShareLease::observe(const StoreItem& item, Milliseconds now)
{
    if (item.revision <= this->itemRevision)
        return;
    this->replacesEarlierRun = this->isHeldByEarlierRun();
    this->itemRevision = item.revision;
    this->isAbsent = item.removed;
    this->changedTime = now;
    this->hasStopped = false;
    this->confirmedAt = LongAgo;
    this->grantor = item.removed ? std::nullopt : decodeGrantor(item.value);
    if (this->isWaiting())
        this->waitEnd = now + this->options->takeOverDelay;
    else if (this->isHeldHere())
        this->begun = now;
}

void CreditShareLease::acknowledgeOwnWrite()
{
    // The earlier run ended before this process began, and no other instance granted in between. Before the first
    // confirmation nothing has been granted here.
    if (this->replacesEarlierRun && this->isHeldHere() && this->confirmedAt == LongAgo)
        this->begun = this->processStart;
}

void CreditShareLease::confirm(StoreRevision found, Milliseconds readSentAt)
{
    if (found == this->itemRevision)
        this->confirmedAt = std::max(this->confirmedAt, readSentAt);
    else if (found > this->itemRevision || !found)
        this->hasStopped = true; // the watch will deliver the new item
}

CreditShareLease::State CreditShareLease::state(Milliseconds now) const
{
    if (!this->holder())
        return State::Free;
    if (!this->isHeldHere())
        return State::Held;
    if (this->isWaiting())
        return State::Waiting;
    const bool isConfirmed = !this->hasStopped && now - this->confirmedAt < this->options->leaseTime;
    return isConfirmed ? State::Granting : State::Unconfirmed;
}

}
