#include "Node/ServerPauses.h"

#include "Node/ServiceTable.h"

#include <algorithm>

namespace burlreach {

ServerPauses::ServerPauses(Options givenOptions, Dependencies givenParts)
    : options(givenOptions)
    , dependencies(givenParts)
{
}

bool ServerPauses::handleNotice(const ServerNoticed& event, Milliseconds now) const
{
    const Milliseconds pause = event.notice.pause;
    if (pause.count <= 0)
        return false;
    const Milliseconds spread = std::min(pause, this->options.maxSpread) * this->dependencies.random->unit();
    const Milliseconds until = now + pause + spread;
    // Stored even if the server has no record at the moment, as the record may come back.
    if (!this->dependencies.book->recordPause(event.backendServer, event.life, until, now))
        return false;
    const auto server = this->dependencies.services->backendServer(event.backendServer);
    if (server && server->record().life == event.life)
        server->pauseUntil(until);
    return true;
}

}
