#pragma once

#include "Configuration/FactTranslator.h"
#include "Customers/CustomerTable.h"
#include "Node/FactSource.h"
#include "Routing/RouteTable.h"
#include "Store/StoreItem.h"

#include <cstddef>
#include <memory>
#include <string>

namespace burlreach {

/** A configuration with its routes and keys made ready to be searched; never changed afterwards. */
struct PreparedRouting {
    RoutingConfiguration configuration;
    RouteTable routes;
    CustomerTable customers;
};

/** What a changed item of the store says, ready to come into force. */
struct TranslatedItem {
    std::string key;
    StoreRevision revision = 0;
    std::size_t bytes = 0; // of its value
    FactSource source = FactSource::Store;
    Facts facts; // without the configuration, which is in the routing
    std::shared_ptr<const PreparedRouting> routing; // null when the item holds no configuration
};

/** Reads the item. For a large one this takes longer than requests should wait; it touches nothing else. */
std::shared_ptr<const TranslatedItem> translateItem(
    const FactTranslator& translator, const StoreItem& item, FactSource source);

}
