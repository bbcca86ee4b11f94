#pragma once

#include "Base/Findings.h"
#include "Configuration/BackendServerRecord.h"
#include "Configuration/RoutingConfiguration.h"
#include "Rollouts/RolloutOrder.h"
#include "Rollouts/RolloutState.h"
#include "Store/StoreItem.h"

#include <optional>
#include <string>
#include <vector>

namespace burlreach {

/** An operator's order for the backend servers of a data centre. */
struct DataCentreOrder {
    std::string dataCentre;
    bool emptied = false; // they get no new requests
};

/** The content of a store item: the parts of the configuration that it sets or changes. */
struct ConfigurationUpdate {
    std::optional<RoutingConfiguration> configuration;
    std::vector<BackendServerRecord> backendServers; // new or changed
    std::vector<std::string> goneBackendServers; // ids of removed ones
    bool areAllBackendServers = false; // the list is complete: those not in it are removed
    std::vector<std::string> unusableBackendServers; // ids with unreadable records, which must no longer be used
    std::vector<DataCentreOrder> dataCentres; // new or changed
    bool areAllDataCentres = false; // the list is complete: those not in it are in use
    std::vector<RolloutOrder> rollouts; // new, changed or withdrawn
    bool areAllRollouts = false; // the list is complete: those not in it are withdrawn
    Findings findings; // why the item could not be read; the item is then ignored
};

/** Translates store items from the format in which operators and backend servers write them. */
class StoreItemTranslator {
public:
    virtual ~StoreItemTranslator() = default;
    /** The prefix of the keys to watch. */
    virtual std::string watchedPrefix() const = 0;
    virtual ConfigurationUpdate translate(const StoreItem& item) const = 0;
    /**
     * The store item that shows operators the state of a service's roll-out. Its key is empty if the store holds no
     * such item and operators get the state from the instances.
     */
    virtual StoreItem rolloutStatus(const std::string&, const RolloutState&) const { return {}; }
    /**
     * The value of the item with digests in place of its secrets, which no instance keeps or sends to others; nullopt
     * if it contains none. The result is the same on every instance, and translate() gives the same result for both.
     */
    virtual std::optional<std::string> withoutSecrets(const StoreItem&) const { return std::nullopt; }
};

}
