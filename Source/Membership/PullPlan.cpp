#include "Membership/PullPlan.h"

#include <algorithm>

namespace burlreach {

PullPlan::PullPlan(Options givenOptions)
    : options(givenOptions)
{
}

void PullPlan::behind(const peers::Member& origin, std::uint64_t revision, bool heldChanges, Milliseconds now)
{
    if (revision >= this->wanted)
        this->newest = origin;
    this->wanted = std::max(this->wanted, revision);
    const Milliseconds due = heldChanges ? now : now + this->options.patience;
    this->askAt = std::min(this->askAt, due);
}

void PullPlan::promised(Milliseconds now)
{
    // A further announcement does not extend the wait that the first one began.
    if (now >= this->promisedUntil)
        this->promisedUntil = now + this->options.pushPatience;
}

void PullPlan::reached(std::uint64_t revision)
{
    if (revision < this->wanted)
        return;
    this->wanted = 0;
    this->askAt = Never;
    this->promisedUntil = LongAgo;
}

std::optional<peers::Member> PullPlan::next(Milliseconds now)
{
    if (!this->wanted || now < this->nextDue())
        return std::nullopt;
    this->pendingUntil = now + this->options.timeout;
    return this->newest;
}

Milliseconds PullPlan::nextDue() const
{
    return this->wanted ? std::max({ this->askAt, this->pendingUntil, this->promisedUntil }) : Never;
}

}
