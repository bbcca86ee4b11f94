#include "Program/StopSequence.h"

namespace burlreach {

namespace {

/** Of the bound; what ends the process from outside should not come first. */
constexpr double BoundUsed = 0.95;

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
    const bool isCurrent = work.look + 1 >= this->looks && work.look > this->drainingSince;
    if (this->current == Step::Announced && since >= this->options.lead) {
        this->current = Step::Draining;
        this->drainingSince = this->looks;
    } else if (this->current == Step::Draining && isCurrent && !work.unfinished)
        this->current = Step::Ended;
    if (since >= this->options.bound * BoundUsed)
        this->current = Step::Ended;
    return this->current;
}

}
