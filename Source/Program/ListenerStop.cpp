#include "Program/ListenerStop.h"

namespace burlreach {

void takeStopStep(HttpListener& listener, StopSequence::Step step)
{
    switch (step) {
    case StopSequence::Step::None:
        return;
    case StopSequence::Step::Announced:
        return listener.closeAfterAnswers();
    case StopSequence::Step::Closing:
        // Connections that are being established may complete until the next call.
        if (listener.isRefusingNewConnections())
            listener.stopAccepting();
        else
            listener.refuseNewConnections();
        return listener.closeIdle();
    case StopSequence::Step::Draining:
    case StopSequence::Step::Ended:
        return listener.closeIdle();
    }
}

std::size_t workLeftFor(const HttpListener& listener)
{
    return listener.unfinishedSessions() + (listener.hasRecentConnection() ? 1 : 0);
}

}
