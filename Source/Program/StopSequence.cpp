#include "Program/StopSequence.h"

namespace burlreach {

namespace {

/** Share of the bound after which the process exits, so that it does so before a supervisor kills it. */
constexpr double BoundUsed = 0.95;
/**
 * Share of the time between lead and bound during which connections are accepted
 * at most. The rest of it is left for the last requests to finish.
 */
constexpr double AcceptingShare = 0.5;
/** Time left to write the last answers before the process exits. */
constexpr Milliseconds WritingTime{ 200 };

}

StopSequence::StopSequence(Options givenOptions)
    : options(givenOptions)
{
}

void StopSequence::begin(Milliseconds now)
{
    if (this->current != Step::None)
        return;
    this->current = Step::Announced;
    this->began = now;
}

StopSequence::Step StopSequence::advance(const CountedWork& work, Milliseconds now)
{
    if (this->current == Step::None)
        return this->current;
    ++this->looks;
    const Milliseconds since = now - this->began;
    const bool isCurrent = work.look + 1 >= this->looks && work.look > this->stepSince;
    const bool isOver = isCurrent && !work.unfinished;
    if (this->current == Step::Announced && since >= this->options.lead)
        this->enter(Step::Draining);
    else if (this->current == Step::Draining && (isOver || this->mustClose(since)))
        this->enter(Step::Closing);
    else if (this->current == Step::Closing && isOver)
        this->enter(Step::Ended);
    if (since >= this->options.bound * BoundUsed)
        this->enter(Step::Ended);
    return this->current;
}

StopTimes StopSequence::times() const
{
    if (this->current == Step::None)
        return {};
    return { .noticedBy = this->began + this->options.lead,
        .answersDue = this->began + this->options.bound * BoundUsed - WritingTime };
}

void StopSequence::enter(Step next)
{
    this->current = next;
    this->stepSince = this->looks;
}

bool StopSequence::mustClose(Milliseconds since) const
{
    return since >= this->options.lead + (this->options.bound - this->options.lead) * AcceptingShare;
}

}
