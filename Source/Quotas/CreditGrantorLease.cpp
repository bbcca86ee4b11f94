#include "Quotas/CreditGrantorLease.h"

#include <algorithm>
#include <google/protobuf/util/json_util.h>

namespace burlreach {

namespace {

/** The clocks of two instances run at different speeds by less than this factor. */
constexpr double ClockMargin = 1.1;
/** How often to check the holder while it is another instance that is alive. */
constexpr Milliseconds CheckInterval{ 300 };

bool isSameAddress(const peers::Member& left, const peers::Member& right)
{
    return left.address() == right.address() && left.port() == right.port();
}

}

std::string encodeGrantor(const peers::CreditGrantor& grantor)
{
    std::string text;
    // Converting a message with only plain fields to JSON cannot fail.
    static_cast<void>(google::protobuf::util::MessageToJsonString(grantor, &text));
    return text;
}

std::optional<peers::CreditGrantor> decodeGrantor(const std::string& value)
{
    peers::CreditGrantor grantor;
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    const auto status = google::protobuf::util::JsonStringToMessage(value, &grantor, options);
    return status.ok() ? std::optional(std::move(grantor)) : std::nullopt;
}

CreditGrantorLease::CreditGrantorLease(Options givenOptions, StoreCallNumbers& givenNumbers, Random& givenRandom)
    : options(std::move(givenOptions))
    , numbers(&givenNumbers)
    , random(&givenRandom)
    , backoff({})
{
}

bool CreditGrantorLease::isHolder() const
{
    if (!this->holderRecord || this->holderRecord->released())
        return false;
    const peers::Incarnation& life = this->holderRecord->member().incarnation();
    const peers::Incarnation& own = this->options.self.incarnation();
    return life.name() == own.name() && life.number() == own.number();
}

std::optional<peers::Member> CreditGrantorLease::holder() const
{
    return this->holderRecord && !this->holderRecord->released() ? std::optional(this->holderRecord->member())
                                                                 : std::nullopt;
}

void CreditGrantorLease::updateHolder(const StoreItem* stored, Milliseconds now)
{
    const StoreRevision revision = stored ? stored->revision : 0;
    if (revision == this->holderRevision)
        return;
    this->holderRevision = revision;
    this->holderSince = now;
    this->holderRecord = stored && !stored->removed ? decodeGrantor(stored->value) : std::nullopt;
    if (this->isHolder())
        this->startHolding(now);
}

void CreditGrantorLease::startHolding(Milliseconds now)
{
    this->hasStopped = false;
    this->nextConfirmation = now;
    const bool isFree
        = this->replacedPredecessor == Predecessor::None || this->replacedPredecessor == Predecessor::Gone;
    // The predecessor's last confirmation is older than this instance's write. So it grants in full for at most fullFor
    // from now, and half for at most halfFor.
    this->halfFrom = isFree ? now : now + this->options.fullFor * ClockMargin;
    this->fullFrom = isFree ? now : now + this->options.halfFor * ClockMargin;
    this->grantingStart = this->halfFrom;
}

GrantMode CreditGrantorLease::mode(Milliseconds now) const
{
    if (!this->isHolder() || this->hasStopped || now < this->halfFrom)
        return GrantMode::None;
    const Milliseconds age = now - this->confirmedAt;
    if (age > this->options.halfFor)
        return GrantMode::None;
    return now < this->fullFrom || age > this->options.fullFor ? GrantMode::Half : GrantMode::Full;
}

CreditGrantorLease::Predecessor CreditGrantorLease::evaluatePredecessor(const Inputs& inputs, Milliseconds now) const
{
    if (!inputs.stored)
        return Predecessor::None;
    if (!this->holderRecord)
        return Predecessor::Uncertain; // the item was removed, or an instance did not write it
    if (this->holderRecord->released())
        return Predecessor::Gone;
    const peers::Member& member = this->holderRecord->member();
    if (member.incarnation().name() != this->options.self.incarnation().name())
        return this->evaluateOtherInstance(inputs, now);
    // An earlier run of this instance. If this process now listens at its address, that run has ended.
    return isSameAddress(member, this->options.self) ? Predecessor::Gone : Predecessor::Uncertain;
}

CreditGrantorLease::Predecessor CreditGrantorLease::evaluateOtherInstance(const Inputs& inputs, Milliseconds now) const
{
    const peers::Member& member = this->holderRecord->member();
    const auto heard = inputs.findLastMessage(member.incarnation().name());
    const bool isLaterLife = heard && heard->member.incarnation().number() > member.incarnation().number()
        && isSameAddress(heard->member, member);
    if (isLaterLife)
        return Predecessor::Gone;
    const bool isAlive = heard && now - heard->at < this->options.lostAfter && !inputs.isGrantorUnresponsive;
    // An instance that has only just started to watch has not received messages from all others yet, and an instance
    // that is not the leading watcher receives them from few.
    const Milliseconds since = std::max(this->holderSince, this->watchingSince);
    const bool isLost = !isAlive && (heard || inputs.leads) && now - since > this->options.lostAfter;
    return isLost ? Predecessor::Uncertain : Predecessor::Present;
}

StoreRequest CreditGrantorLease::write(const StoreItem* stored, bool isReleased, Milliseconds now)
{
    peers::CreditGrantor grantor;
    *grantor.mutable_member() = this->options.self;
    grantor.set_released(isReleased);
    StoreRequest request;
    request.number = this->numbers->next();
    request.operation = StoreOperation::Write;
    request.key = GrantorKey;
    request.value = encodeGrantor(grantor);
    request.expected = stored && !stored->removed ? stored->revision : 0;
    request.timeout = this->options.answerTimeout;
    this->writtenValue = request.value;
    this->pendingWrite = request.number;
    this->writeSentAt = now;
    return request;
}

StoreRequest CreditGrantorLease::requestConfirmation(Milliseconds now)
{
    StoreRequest request;
    request.number = this->numbers->next();
    request.operation = StoreOperation::ReadRange;
    request.key = GrantorKey;
    request.timeout = this->options.answerTimeout;
    this->pendingConfirmation = request.number;
    this->confirmationSentAt = now;
    this->nextConfirmation = now + this->options.confirmationInterval;
    return request;
}

std::optional<StoreRequest> CreditGrantorLease::renewOrRelease(const Inputs& inputs, Milliseconds now)
{
    if (!inputs.isNeeded && !this->pendingWrite && now >= this->pausedUntil) {
        this->hasStopped = true;
        return this->write(inputs.stored, true, now);
    }
    const bool isDue = !this->pendingConfirmation && now >= this->nextConfirmation;
    auto confirmation = isDue ? std::optional(this->requestConfirmation(now)) : std::nullopt;
    // While a call is under way, its answer leads to the next check.
    this->nextCheck = this->pendingConfirmation ? Never : this->nextConfirmation;
    return confirmation;
}

std::optional<StoreRequest> CreditGrantorLease::acquire(const Inputs& inputs, Milliseconds now)
{
    if (!inputs.isNeeded || !inputs.isWatching || this->pendingWrite || now < this->pausedUntil)
        return std::nullopt;
    const Predecessor predecessor = this->evaluatePredecessor(inputs, now);
    const bool leaderGoesFirst = !inputs.leads
        && (predecessor == Predecessor::None
            || (predecessor == Predecessor::Gone && now - this->holderSince < this->options.leaderFirst));
    if (predecessor == Predecessor::Present || leaderGoesFirst) {
        this->nextCheck = now + CheckInterval;
        return std::nullopt;
    }
    this->replacedPredecessor = predecessor;
    return this->write(inputs.stored, false, now);
}

std::optional<StoreRequest> CreditGrantorLease::next(const Inputs& inputs, Milliseconds now)
{
    this->updateHolder(inputs.stored, now);
    if (!inputs.isWatching)
        this->watchingSince = now;
    this->nextCheck = this->pausedUntil > now ? this->pausedUntil : Never;
    return this->isHolder() && !this->hasStopped ? this->renewOrRelease(inputs, now) : this->acquire(inputs, now);
}

void CreditGrantorLease::handleConfirmation(const StoreAnswer& answer)
{
    this->pendingConfirmation = 0;
    if (answer.status != StoreStatus::Done)
        return;
    const bool isStillHolder = answer.items.size() == 1 && answer.items.front().revision == this->holderRevision;
    if (isStillHolder)
        this->confirmedAt = std::max(this->confirmedAt, this->confirmationSentAt);
    else
        this->hasStopped = true; // another instance is the holder; the watch will deliver the new item
}

bool CreditGrantorLease::answered(const StoreAnswer& answer, Milliseconds now)
{
    if (this->pendingConfirmation && answer.number == this->pendingConfirmation) {
        this->handleConfirmation(answer);
        return true;
    }
    if (!this->pendingWrite || answer.number != this->pendingWrite)
        return false;
    this->pendingWrite = 0;
    if (answer.status != StoreStatus::Done) {
        // A refused write had no effect. If it was to release the role, this instance still holds it.
        if (answer.status == StoreStatus::Refused)
            this->hasStopped = false;
        // The watch delivers the present item: after a conflict that of another instance, after a lost answer perhaps
        // the one written here.
        this->pausedUntil = now + this->backoff.next(*this->random);
        return true;
    }
    this->backoff.reset();
    this->confirmedAt = this->writeSentAt;
    this->written = StoreItem{
        .key = GrantorKey, .value = std::move(this->writtenValue), .revision = answer.at, .removed = false
    };
    return true;
}

}
