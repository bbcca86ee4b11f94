#pragma once

#include "Configuration/StoreItemTranslator.h"
#include "Customers/CustomerTable.h"
#include "Node/ChangeSource.h"
#include "Routing/RouteTable.h"
#include "Store/StoreCall.h"
#include "Store/StoreItem.h"

#include <cstddef>
#include <memory>
#include <string>

namespace burlreach {

/** A configuration with lookup tables for its routes and customers; immutable once built. */
struct PreparedRouting {
    RoutingConfiguration configuration;
    RouteTable routes;
    CustomerTable customers;
};

/** A changed item of the store, translated and ready to be applied. */
struct TranslatedItem {
    std::string key;
    StoreRevision revision = 0;
    std::size_t bytes = 0; // size of the item's value
    ChangeSource source = ChangeSource::Store;
    ConfigurationUpdate facts; // without the configuration, which is in `routing`
    std::shared_ptr<const PreparedRouting> routing; // null when the item holds no configuration
};

/**
 * Translates the item. For a large one this takes longer than requests should wait; it uses no shared state, so it may
 * run outside the node.
 */
std::shared_ptr<const TranslatedItem> translateItem(
    const StoreItemTranslator& translator, const StoreItem& item, ChangeSource source);

/** A copy of the answer with secrets replaced by digests, which may be kept and sent to other instances. */
StoreAnswer withoutSecrets(const StoreItemTranslator& translator, const StoreAnswer& answer);

}
