#pragma once

#include "Configuration/RoutingConfiguration.h"
#include "Node/Actions.h"
#include "Node/FactSource.h"
#include "Store/StoreItem.h"

#include <cstddef>

namespace burlreach {

/** The store names another instance that grants credit for customers' requests, or none. */
DecisionRecord recordOfGrantor(const StoreItem& item, FactSource source);

/** A line for each route that is divided among services, up to so many. */
void addRecordsOfSplits(const RoutingConfiguration& configuration, std::size_t most, Actions& actions);

}
