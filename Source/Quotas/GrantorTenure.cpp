#include "Quotas/GrantorTenure.h"

#include <algorithm>
#include <google/protobuf/util/json_util.h>

namespace burlreach {

namespace {

/** The clocks of two instances run at different speeds by less than this factor. */
constexpr double ClockMargin = 1.1;
/** How often to check the holder while it is another instance that is alive. */
constexpr Milliseconds LookInterval{ 300 };

bool isSameAddress(const peers::Member& left, const peers::Member& right)
{
    return left.address() == right.address() && left.port() == right.port();
}

}

std::string writeGrantor(const peers::CreditGrantor& grantor)
{
    std::string text;
    // Converting a message with only plain fields to JSON cannot fail.
    static_cast<void>(google::protobuf::util::MessageToJsonString(grantor, &text));
    return text;
}

std::optional<peers::CreditGrantor> readGrantor(const std::string& value)
{
    peers::CreditGrantor grantor;
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    const auto status = google::protobuf::util::JsonStringToMessage(value, &grantor, options);
    return status.ok() ? std::optional(std::move(grantor)) : std::nullopt;
}

GrantorTenure::GrantorTenure(Options givenOptions, StoreCallNumbers& givenNumbers, Random& givenRandom)
    : options(std::move(givenOptions))
    , numbers(&givenNumbers)
    , random(&givenRandom)
    , backoff({})
{
}

bool GrantorTenure::isNamed() const
{
    if (!this->named || this->named->released())
        return false;
    const peers::Incarnation& life = this->named->member().incarnation();
    const peers::Incarnation& own = this->options.self.incarnation();
    return life.name() == own.name() && life.number() == own.number();
}

std::optional<peers::Member> GrantorTenure::holder() const
{
    return this->named && !this->named->released() ? std::optional(this->named->member()) : std::nullopt;
}

void GrantorTenure::look(const StoreItem* stored, Milliseconds now)
{
    const StoreRevision revision = stored ? stored->revision : 0;
    if (revision == this->namedAt)
        return;
    this->namedAt = revision;
    this->namedSince = now;
    this->named = stored && !stored->removed ? readGrantor(stored->value) : std::nullopt;
    if (this->isNamed())
        this->begin(now);
}

void GrantorTenure::begin(Milliseconds now)
{
    this->hasGivenUp = false;
    this->nextProof = now;
    const bool isFree = this->before == Predecessor::Nobody || this->before == Predecessor::Gone;
    // The predecessor's last confirmation is older than this instance's write. So it grants in full for at most fullFor
    // from now, and half for at most halfFor.
    this->halfFrom = isFree ? now : now + this->options.fullFor * ClockMargin;
    this->fullFrom = isFree ? now : now + this->options.halfFor * ClockMargin;
    this->begunAt = this->halfFrom;
}

GrantMode GrantorTenure::mode(Milliseconds now) const
{
    if (!this->isNamed() || this->hasGivenUp || now < this->halfFrom)
        return GrantMode::None;
    const Milliseconds age = now - this->proof;
    if (age > this->options.halfFor)
        return GrantMode::None;
    return now < this->fullFrom || age > this->options.fullFor ? GrantMode::Half : GrantMode::Full;
}

GrantorTenure::Predecessor GrantorTenure::predecessor(const Surroundings& around, Milliseconds now) const
{
    if (!around.stored)
        return Predecessor::Nobody;
    if (!this->named)
        return Predecessor::Uncertain; // the item was removed, or an instance did not write it
    if (this->named->released())
        return Predecessor::Gone;
    const peers::Member& member = this->named->member();
    if (member.incarnation().name() != this->options.self.incarnation().name())
        return this->otherPredecessor(around, now);
    // An earlier run of this instance. If this process now listens at its address, that run has ended.
    return isSameAddress(member, this->options.self) ? Predecessor::Gone : Predecessor::Uncertain;
}

GrantorTenure::Predecessor GrantorTenure::otherPredecessor(const Surroundings& around, Milliseconds now) const
{
    const peers::Member& member = this->named->member();
    const auto heard = around.heard(member.incarnation().name());
    const bool isLaterLife = heard && heard->member.incarnation().number() > member.incarnation().number()
        && isSameAddress(heard->member, member);
    if (isLaterLife)
        return Predecessor::Gone;
    const bool isAlive = heard && now - heard->at < this->options.lostAfter && !around.isSilent;
    // An instance that has only just started to watch has not received messages from all others yet, and an instance
    // that is not the leading watcher receives them from few.
    const Milliseconds since = std::max(this->namedSince, this->watchingSince);
    const bool isLost = !isAlive && (heard || around.leads) && now - since > this->options.lostAfter;
    return isLost ? Predecessor::Uncertain : Predecessor::Present;
}

StoreRequest GrantorTenure::write(const StoreItem* stored, bool isReleased, Milliseconds now)
{
    peers::CreditGrantor grantor;
    *grantor.mutable_member() = this->options.self;
    grantor.set_released(isReleased);
    StoreRequest request;
    request.number = this->numbers->next();
    request.operation = StoreOperation::Write;
    request.key = GrantorKey;
    request.value = writeGrantor(grantor);
    request.expected = stored && !stored->removed ? stored->revision : 0;
    request.timeout = this->options.answerTimeout;
    this->value = request.value;
    this->pending = request.number;
    this->askedAt = now;
    return request;
}

StoreRequest GrantorTenure::askForProof(Milliseconds now)
{
    StoreRequest request;
    request.number = this->numbers->next();
    request.operation = StoreOperation::ReadRange;
    request.key = GrantorKey;
    request.timeout = this->options.answerTimeout;
    this->pendingProof = request.number;
    this->proofAskedAt = now;
    this->nextProof = now + this->options.proofInterval;
    return request;
}

std::optional<StoreRequest> GrantorTenure::keep(const Surroundings& around, Milliseconds now)
{
    if (!around.isNeeded && !this->pending && now >= this->pausedUntil) {
        this->hasGivenUp = true;
        return this->write(around.stored, true, now);
    }
    const bool isDue = !this->pendingProof && now >= this->nextProof;
    auto proof = isDue ? std::optional(this->askForProof(now)) : std::nullopt;
    // While a call is under way, its answer leads to the next check.
    this->lookAgainAt = this->pendingProof ? Never : this->nextProof;
    return proof;
}

std::optional<StoreRequest> GrantorTenure::replace(const Surroundings& around, Milliseconds now)
{
    if (!around.isNeeded || !around.isWatching || this->pending || now < this->pausedUntil)
        return std::nullopt;
    const Predecessor found = this->predecessor(around, now);
    const bool isOthersTurn = !around.leads
        && (found == Predecessor::Nobody
            || (found == Predecessor::Gone && now - this->namedSince < this->options.leaderFirst));
    if (found == Predecessor::Present || isOthersTurn) {
        this->lookAgainAt = now + LookInterval;
        return std::nullopt;
    }
    this->before = found;
    return this->write(around.stored, false, now);
}

std::optional<StoreRequest> GrantorTenure::next(const Surroundings& around, Milliseconds now)
{
    this->look(around.stored, now);
    if (!around.isWatching)
        this->watchingSince = now;
    this->lookAgainAt = this->pausedUntil > now ? this->pausedUntil : Never;
    return this->isNamed() && !this->hasGivenUp ? this->keep(around, now) : this->replace(around, now);
}

void GrantorTenure::proofAnswered(const StoreAnswer& answer)
{
    this->pendingProof = 0;
    if (answer.status != StoreStatus::Done)
        return;
    const bool isNamedThere = answer.items.size() == 1 && answer.items.front().revision == this->namedAt;
    if (isNamedThere)
        this->proof = std::max(this->proof, this->proofAskedAt);
    else
        this->hasGivenUp = true; // another instance is the holder; the watch will deliver the new item
}

bool GrantorTenure::answered(const StoreAnswer& answer, Milliseconds now)
{
    if (this->pendingProof && answer.number == this->pendingProof) {
        this->proofAnswered(answer);
        return true;
    }
    if (!this->pending || answer.number != this->pending)
        return false;
    this->pending = 0;
    if (answer.status != StoreStatus::Done) {
        // A refused write had no effect. If it was to release the role, this instance still holds it.
        if (answer.status == StoreStatus::Refused)
            this->hasGivenUp = false;
        // The watch delivers the present item: after a conflict that of another instance, after a lost answer perhaps
        // the one written here.
        this->pausedUntil = now + this->backoff.next(*this->random);
        return true;
    }
    this->backoff.reset();
    this->proof = this->askedAt;
    this->written
        = StoreItem{ .key = GrantorKey, .value = std::move(this->value), .revision = answer.at, .removed = false };
    return true;
}

}
