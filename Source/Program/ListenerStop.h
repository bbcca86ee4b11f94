#pragma once

#include "Http/HttpListener.h"
#include "Program/StopSequence.h"

namespace burlreach {

/** Does at the callers' listener what belongs to the step of a planned stop; to be called at each look. */
void takeStopStep(HttpListener& listener, StopSequence::Step step);

/** What keeps the present step of a planned stop from being over at this listener. */
std::size_t workLeftFor(const HttpListener& listener);

}
