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

/** What operators want of the backend servers of a data centre. */
struct DataCentreOrder {
    std::string dataCentre;
    bool emptied = false; // they get nothing new
};

/** What an item of the store says. */
struct Facts {
    std::optional<RoutingConfiguration> configuration;
    std::vector<BackendServerRecord> backendServers; // new or changed
    std::vector<std::string> goneBackendServers; // ids
    bool areAllBackendServers = false; // those not named are gone
    std::vector<std::string> unusableBackendServers; // ids whose records cannot be read; not to be used any more
    std::vector<DataCentreOrder> dataCentres; // new or changed
    bool areAllDataCentres = false; // those not named are in use
    std::vector<RolloutOrder> rollouts; // new, changed or withdrawn
    bool areAllRollouts = false; // those not named are withdrawn
    Findings findings; // why the item could not be read; it is ignored then
};

/** Reads the items of the store in the form in which operators and backend servers write them. */
class FactTranslator {
public:
    virtual ~FactTranslator() = default;
    /** Keys with this prefix are watched. */
    virtual std::string watchedPrefix() const = 0;
    virtual Facts translate(const StoreItem& item) const = 0;
    /** What operators find in the store of a roll-out, under which key; an empty key: they ask the instances. */
    virtual StoreItem rolloutStatus(const std::string&, const RolloutState&) const { return {}; }
    /**
     * The value with digests in place of the secrets in it, which no instance keeps or passes on; nothing when it
     * holds none. The same on every instance, and translate() reads it as it reads the value.
     */
    virtual std::optional<std::string> withoutSecrets(const StoreItem&) const { return std::nullopt; }
};

}
