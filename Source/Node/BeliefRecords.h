#pragma once

#include "Configuration/RoutingConfiguration.h"
#include "Node/Actions.h"
#include "Node/FactSource.h"
#include "Store/StoreItem.h"

#include <cstddef>

namespace burlreach {

/** Logs the instance that grants credit for customers' requests, as read from the store, or that there is none. */
DecisionRecord recordOfGrantor(const StoreItem& item, FactSource source);

/** Logs one record for each route with several weighted services, at most `most`. */
void addRecordsOfSplits(const RoutingConfiguration& configuration, std::size_t most, Actions& actions);

}
