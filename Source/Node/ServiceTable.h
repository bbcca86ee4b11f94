#pragma once

#include "Attempts/RetryBudget.h"
#include "Base/Random.h"
#include "Configuration/StoreItemTranslator.h"
#include "Limits/LimitRegistry.h"
#include "Node/BackendServerChange.h"
#include "Node/PolicyFactory.h"
#include "Node/ServiceState.h"
#include "Node/TranslatedItem.h"
#include "Routing/NoticeRegistry.h"
#include "Routing/WeightedRoundRobin.h"

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace burlreach {

/** The routes, services and backend servers in force on this instance. */
class ServiceTable {
public:
    struct Options {
        std::shared_ptr<const PolicyFactory> policies;
        RetryLimits retries;
        const NoticeRegistry* notices = nullptr; // must outlive the table
        const LimitRegistry* limits = nullptr; // must outlive the table
    };

    ServiceTable(Options options, Random& random);

    void setRouting(std::shared_ptr<const PreparedRouting> next);
    /** Applies changed records. A removed record is kept as lapsed until `lapseDeadline`, if that is in the future. */
    std::vector<BackendServerChange> setBackendServers(
        const ConfigurationUpdate& facts, Milliseconds lapseDeadline, Milliseconds now);
    /** Removes lapsed records that were not written again in time. */
    std::vector<BackendServerChange> removeExpiredLapses(Milliseconds now);
    /** When the next lapsed record is due for removeExpiredLapses(); Never when there is none. */
    Milliseconds nextLapseExpiry() const;
    /** Applies orders to empty data centres or to use them again; returns those that changed something. */
    std::vector<DataCentreOrder> setDataCentres(const ConfigurationUpdate& facts, Milliseconds now);
    void setInstances(const FleetCount& count);

    /** False before the first configuration. */
    bool isConfigured() const { return this->configured; }
    std::uint64_t version() const { return this->current().version; }
    const RoutingConfiguration& current() const { return this->routing->configuration; }
    const CustomerTable& customers() const { return this->routing->customers; }
    bool hasLimitedCustomers() const { return this->customers().hasLimits(); }
    /** Counts the configurations applied on this instance, so it identifies the one in force. */
    std::uint64_t routingGeneration() const { return this->routingCount; }
    std::shared_ptr<const Route> route(std::string_view host, std::string_view method, std::string_view path) const;
    /**
     * The service for the route's next request, chosen by weight when the route has several; null when the service
     * is unknown.
     */
    std::shared_ptr<ServiceState> chooseService(const Route& route);
    /** Records that a request of the route was sent to the service that chooseService() returned. */
    void recordSent(const Route& route, const std::string& service);
    std::shared_ptr<ServiceState> byName(std::string_view name) const;
    std::shared_ptr<BackendServerState> backendServer(std::string_view id) const;
    std::size_t backendServers() const { return this->records.size(); }
    /** Number of data centres that have backend servers. */
    std::size_t dataCentres() const { return this->serversByDataCentre.size(); }
    /** Ids of the backend servers in the data centre. */
    std::vector<std::string> backendServersIn(std::string_view dataCentre) const;
    const std::set<std::string>& emptiedDataCentres() const { return this->emptiedCentres; }
    std::span<const std::shared_ptr<ServiceState>> all() const { return this->services; }

private:
    /** Drops the weighted-selection state of routes that were removed or whose weights changed. */
    void dropStaleTurns();
    void applyRecord(const BackendServerRecord& record, Milliseconds now, std::vector<BackendServerChange>& changes);
    /**
     * Adds or updates the record in its service's pool, and applies to it what is known apart from the record: an
     * emptied data centre, and the server's own notices and limit.
     */
    void addToPool(ServiceState& service, const BackendServerRecord& record, Milliseconds now) const;
    void applyOrder(const DataCentreOrder& order, Milliseconds now, std::vector<DataCentreOrder>& changes);
    void remove(const std::string& id, BackendServerChange::Kind kind, std::vector<BackendServerChange>& changes);
    /** Counts one backend server less in the data centre. */
    void removeFromDataCentre(const std::string& dataCentre);
    /** True when the removed record is kept as lapsed, because its lease may just have expired in a store outage. */
    bool keepAsLapsed(
        const std::string& id, Milliseconds until, Milliseconds now, std::vector<BackendServerChange>& changes);

    Options options;
    Random* random;
    FleetCount instances;
    bool configured = false;
    std::uint64_t routingCount = 0;
    std::shared_ptr<const PreparedRouting> routing; // never null
    std::vector<std::shared_ptr<ServiceState>> services;
    std::unordered_map<std::string, std::shared_ptr<ServiceState>> byNames;
    std::map<std::string, BackendServerRecord, std::less<>> records;
    std::map<std::string, std::size_t, std::less<>> serversByDataCentre; // number of records, never 0
    std::unordered_map<std::string, WeightedRoundRobin> turns; // weighted selection of a service, by route
    std::set<std::string> emptiedCentres; // names
    std::map<std::string, Milliseconds> lapsedUntil; // until when the removed record is kept, by id
};

}
