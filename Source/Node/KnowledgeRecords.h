#pragma once

#include "Configuration/RoutingConfiguration.h"
#include "Node/Actions.h"
#include "Node/ChangeSource.h"
#include "Store/StoreItem.h"

#include <cstddef>

namespace burlreach {

/** Logs the holder of a credit share, as read from the store, or that there is none. */
DecisionRecord grantorRecord(const StoreItem& item, ChangeSource source);

/** Logs one record for each route with several weighted services, at most `most`. */
void addSplitRouteRecords(const RoutingConfiguration& configuration, std::size_t most, Actions& actions);

}
