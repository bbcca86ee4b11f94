#include "Program/StopSequence.h"

namespace burlreach {

namespace {

/** Of the bound; what ends the process from outside should not come first. */
constexpr double BoundUsed = 0.95;
/**
 * Of the time between the lead and the bound: from then on nobody is accepted
 * any more, so that the last requests have the other half to end in.
 */
constexpr double AcceptingShare = 0.5;

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
