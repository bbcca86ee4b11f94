#pragma once

#include "Node/DecisionRecord.h"
#include "Node/StoreSynchronizer.h"
#include "peers.pb.h"

#include <string_view>

namespace burlreach {

/** Logs a gossip update whose changes are incomplete: earlier changes or large ones are missing. */
DecisionRecord incompleteNewsRecord(const peers::News& news, const StoreSynchronizer& store, Milliseconds now);
/** Logs a push sent to, or received from, the other instance. */
DecisionRecord pushRecord(
    std::string_view event, const peers::Incarnation& other, const peers::Push& push, const StoreSynchronizer& store);

}
