#include "Quotas/CreditShares.h"

#include <algorithm>

namespace burlreach {

namespace {

/** How often the leading watcher looks for lost holders. */
constexpr Milliseconds CheckInterval{ 300 };
/** After a partition or a restart of many instances the known size of the fleet is too small for a few seconds. */
constexpr Milliseconds TooManyTime{ 10000 };

}

CreditShares::CreditShares(Options givenOptions, StoreCallNumbers& givenNumbers, Random& givenRandom)
    : options(std::move(givenOptions))
    , numbers(&givenNumbers)
    , random(&givenRandom)
    , assigner(this->options.assigner)
    , list(CreditShareCount, CreditShareLease(this->options.lease))
    , writeBackoff({})
    , confirmationBackoff({})
{
}

bool CreditShares::itemChanged(const StoreItem& item, Milliseconds now)
{
    const auto share = creditShareOf(item.key);
    if (!share)
        return false;
    this->list[*share].observe(item, now);
    this->recognizeOwnWrite(*share);
    this->nextAssignment = now;
    this->assignments.clear();
    if (this->list[*share].isHeldHere())
        this->nextConfirmation = now;
    return true;
}

void CreditShares::recognizeOwnWrite(std::size_t share)
{
    const auto own = this->ownWrites.find(share);
    if (own != this->ownWrites.end() && own->second == this->list[share].revision())
        this->list[share].acknowledgeOwnWrite();
}

std::size_t CreditShares::countGranting(Milliseconds now) const
{
    return static_cast<std::size_t>(std::count_if(
        this->list.begin(), this->list.end(), [now](const CreditShareLease& lease) { return lease.isGranting(now); }));
}

bool CreditShares::isWriting(std::size_t share) const
{
    return std::any_of(this->pendingWrites.begin(), this->pendingWrites.end(),
        [share](const auto& item) { return item.second.share == share; });
}

StoreRequest CreditShares::write(std::size_t share, const peers::Member& holder, bool isReleased)
{
    peers::CreditGrantor grantor;
    *grantor.mutable_member() = holder;
    grantor.set_released(isReleased);
    grantor.set_share_count(CreditShareCount);
    StoreRequest request;
    request.number = this->numbers->next();
    request.operation = StoreOperation::Write;
    request.key = creditShareKey(share);
    request.value = encodeGrantor(grantor);
    request.expected = this->list[share].revision();
    request.timeout = this->options.answerTimeout;
    this->pendingWrites[request.number] = { .share = share,
        .value = request.value,
        .isRelease = isReleased,
        .isOwnName = !isReleased && isSameIncarnation(holder, this->options.lease.self) };
    return request;
}

bool CreditShares::isWholeQuotaHeld() const
{
    const std::optional<peers::CreditGrantor>& first = this->list.front().record();
    return first && grantsWholeQuota(*first);
}

std::optional<StoreRequest> CreditShares::writeOwn(const Inputs& inputs, Milliseconds now)
{
    if (!inputs.isNeeded || now < this->writesPausedUntil)
        return std::nullopt;
    for (std::size_t share = 0; share < this->list.size(); ++share) {
        if (share && this->isWholeQuotaHeld())
            break;
        if (this->list[share].mayWriteAddress(now) && !this->isWriting(share))
            return this->write(share, this->options.lease.self, false);
    }
    return std::nullopt;
}

bool CreditShares::holdsTooMany(const Inputs& inputs, Milliseconds now)
{
    const auto held = static_cast<std::size_t>(std::count_if(
        this->list.begin(), this->list.end(), [](const CreditShareLease& lease) { return lease.isHeldHere(); }));
    const bool isTooMany = held > CreditShareAssigner::mostShares(inputs.instances);
    this->tooManySince = isTooMany ? std::min(this->tooManySince, now) : Never;
    return isTooMany && now - this->tooManySince > TooManyTime;
}

std::optional<StoreRequest> CreditShares::release(const Inputs& inputs, Milliseconds now)
{
    const bool isTooMany = this->holdsTooMany(inputs, now);
    if ((inputs.isNeeded && !isTooMany) || now < this->writesPausedUntil)
        return std::nullopt;
    for (std::size_t share = 0; share < this->list.size(); ++share) {
        CreditShareLease& lease = this->list[share];
        // A release says that no instance grants. While this instance waits, its predecessor may still grant.
        const bool isWaiting = lease.waitsUntil() != Never;
        if (!lease.isHeldHere() || isWaiting || this->isWriting(share) || (inputs.isNeeded && !lease.isGranting(now)))
            continue;
        this->tooManySince = Never;
        lease.stop();
        return this->write(share, this->options.lease.self, true);
    }
    return std::nullopt;
}

std::optional<StoreRequest> CreditShares::writeAssigned(const Inputs& inputs, Milliseconds now)
{
    if (!inputs.isNeeded || now < this->writesPausedUntil) {
        this->assignments.clear();
        return std::nullopt;
    }
    // Not at each event: the search looks at all known instances, and the leading watcher hears from each of them.
    if (now >= this->nextAssignment) {
        this->checkCount += inputs.fleet.leads && inputs.fleet.fleetAtLeast ? 1 : 0;
        this->nextAssignment = now + CheckInterval;
        const auto found = this->assigner.assign(this->list, inputs.fleet, now);
        this->assignments.assign(found.begin(), found.end());
    }
    while (!this->assignments.empty()) {
        const CreditShareAssigner::Assignment item = std::move(this->assignments.front());
        this->assignments.pop_front();
        if (!this->isWriting(item.share))
            return this->write(item.share, item.holder, false);
    }
    return std::nullopt;
}

std::optional<StoreRequest> CreditShares::confirm(Milliseconds now)
{
    if (this->pendingConfirmation || now < this->nextConfirmation)
        return std::nullopt;
    const auto isHeld = [](const CreditShareLease& lease) { return lease.isHeldHere(); };
    const auto first = std::find_if(this->list.begin(), this->list.end(), isHeld);
    if (first == this->list.end())
        return std::nullopt;
    const bool isOnlyOne = std::find_if(first + 1, this->list.end(), isHeld) == this->list.end();
    StoreRequest request;
    request.number = this->numbers->next();
    request.operation = StoreOperation::ReadRange;
    request.key = isOnlyOne ? creditShareKey(static_cast<std::size_t>(first - this->list.begin())) : GrantorKey;
    request.timeout = this->options.answerTimeout;
    this->pendingConfirmation = request.number;
    this->confirmationSentAt = now;
    this->nextConfirmation = now + this->options.confirmationInterval;
    return request;
}

std::optional<StoreRequest> CreditShares::next(const Inputs& inputs, Milliseconds now)
{
    if (this->processStart == Never) {
        this->processStart = now;
        for (CreditShareLease& lease : this->list)
            lease.setProcessStart(now);
    }
    if (!inputs.hasView)
        return std::nullopt;
    auto request = this->writeOwn(inputs, now);
    if (!request)
        request = this->release(inputs, now);
    if (!request)
        request = this->writeAssigned(inputs, now);
    if (!request)
        request = this->confirm(now);
    this->planNextCheck(inputs, now);
    return request;
}

void CreditShares::planNextCheck(const Inputs& inputs, Milliseconds now)
{
    this->nextCheck = inputs.isNeeded && inputs.fleet.leads ? now + CheckInterval : Never;
    if (this->writesPausedUntil > now)
        this->nextCheck = std::min(this->nextCheck, this->writesPausedUntil);
    for (const CreditShareLease& lease : this->list) {
        // The answer of a call under way leads to the next check.
        if (lease.isHeldHere() && !this->pendingConfirmation)
            this->nextCheck = std::min(this->nextCheck, std::max(this->nextConfirmation, now));
        if (lease.waitsUntil() > now)
            this->nextCheck = std::min(this->nextCheck, lease.waitsUntil());
    }
}

void CreditShares::handleConfirmation(const StoreAnswer& answer, Milliseconds now)
{
    this->pendingConfirmation = 0;
    if (answer.status != StoreStatus::Done) {
        this->nextConfirmation = now + this->confirmationBackoff.next(*this->random);
        return;
    }
    this->confirmationBackoff.reset();
    for (std::size_t share = 0; share < this->list.size(); ++share) {
        if (!this->list[share].isHeldHere())
            continue;
        const auto found = std::find_if(answer.items.begin(), answer.items.end(),
            [key = creditShareKey(share)](const StoreItem& item) { return item.key == key; });
        // A share that this instance was given after the call was sent may be outside of the range that was read.
        if (this->list[share].changedAt() <= this->confirmationSentAt)
            this->list[share].confirm(found == answer.items.end() ? 0 : found->revision, this->confirmationSentAt);
    }
}

bool CreditShares::answered(const StoreAnswer& answer, Milliseconds now)
{
    if (this->pendingConfirmation && answer.number == this->pendingConfirmation) {
        this->handleConfirmation(answer, now);
        return true;
    }
    const auto found = this->pendingWrites.find(answer.number);
    if (found == this->pendingWrites.end())
        return false;
    const PendingWrite write = std::move(found->second);
    this->pendingWrites.erase(found);
    this->nextAssignment = now;
    this->assignments.clear();
    if (answer.status != StoreStatus::Done) {
        // A refused write had no effect. If it was to release the share, this instance still holds it.
        if (answer.status == StoreStatus::Refused && write.isRelease)
            this->list[write.share].resume();
        // The watch delivers the present item: after a conflict that of another instance, after a lost answer perhaps
        // the one written here.
        this->writesPausedUntil = now + this->writeBackoff.next(*this->random);
        return true;
    }
    this->writeBackoff.reset();
    if (write.isOwnName) {
        this->ownWrites[write.share] = answer.at;
        this->recognizeOwnWrite(write.share); // the watch may have delivered the item first
    }
    this->written.push_back(
        { .key = creditShareKey(write.share), .value = write.value, .revision = answer.at, .removed = false });
    return true;
}

std::optional<StoreItem> CreditShares::takeWritten()
{
    if (this->written.empty())
        return std::nullopt;
    StoreItem item = std::move(this->written.front());
    this->written.erase(this->written.begin());
    return item;
}

}
