#pragma once

#include "Http/HttpListener.h"
#include "Program/StopSequence.h"

namespace burlreach {

/** Applies the current step of a planned stop to the callers' listener. Call it after each StopSequence::advance(). */
void takeStopStep(HttpListener& listener, StopSequence::Step step);

/** Returns the number of sessions and new connections that a planned stop still has to wait for at this listener. */
std::size_t workLeftFor(const HttpListener& listener);

}
