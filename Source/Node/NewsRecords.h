#pragma once

#include "Node/DecisionRecord.h"
#include "Node/StoreKeeper.h"
#include "peers.pb.h"

#include <string_view>

namespace burlreach {

/** News of changes that came after a gap, or without the large ones. */
DecisionRecord recordOfIncomplete(const peers::News& news, const StoreKeeper& store, Milliseconds now);
/** A push that was sent to the other instance, or taken from it. */
DecisionRecord recordOfPush(
    std::string_view event, const peers::Incarnation& other, const peers::Push& push, const StoreKeeper& store);

}
