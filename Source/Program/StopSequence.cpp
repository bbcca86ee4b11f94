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

StopSequence::Step StopSequence::advance(bool hasWork, Milliseconds now)
{
    if (this->current == Step::None)
        return this->current;
    const Milliseconds since = now - this->began;
    if (this->current == Step::Announced && since >= this->options.lead)
        this->current = Step::Draining;
    else if (this->current == Step::Draining && !hasWork)
        this->current = Step::Ended;
    if (since >= this->options.bound * BoundUsed)
        this->current = Step::Ended;
    return this->current;
}

}
