#include "Membership/PullScheduler.h"

#include <algorithm>

namespace burlreach {

PullScheduler::PullScheduler(Options givenOptions)
    : options(givenOptions)
{
}

void PullScheduler::recordMissingChanges(
    const peers::Member& origin, std::uint64_t revision, bool heldChanges, Milliseconds now)
{
    if (revision >= this->wantedRevision)
        this->newestOrigin = origin;
    this->wantedRevision = std::max(this->wantedRevision, revision);
    const Milliseconds due = heldChanges ? now : now + this->options.updateDelay;
    this->nextPull = std::min(this->nextPull, due);
}

void PullScheduler::recordAnnouncedPush(Milliseconds now)
{
    // A further announcement does not extend the wait that the first one began.
    if (now >= this->pushExpectedUntil)
        this->pushExpectedUntil = now + this->options.pushTimeout;
}

void PullScheduler::recordReachedRevision(std::uint64_t revision)
{
    if (revision < this->wantedRevision)
        return;
    this->wantedRevision = 0;
    this->nextPull = Never;
    this->pushExpectedUntil = LongAgo;
}

std::optional<peers::Member> PullScheduler::next(Milliseconds now)
{
    if (!this->wantedRevision || now < this->nextDue())
        return std::nullopt;
    this->lastPull = now;
    this->pullTimeoutAt = now + this->options.timeout;
    return this->newestOrigin;
}

Milliseconds PullScheduler::nextDue() const
{
    return this->wantedRevision ? std::max({ this->nextPull, this->pullTimeoutAt, this->pushExpectedUntil }) : Never;
}

}
