#pragma once

#include "Attempts/RetryBudget.h"
#include "Base/Random.h"
#include "Configuration/FactTranslator.h"
#include "Limits/LimitBook.h"
#include "Node/BackendServerChange.h"
#include "Node/PolicyFactory.h"
#include "Node/ServiceState.h"
#include "Node/TranslatedItem.h"
#include "Routing/NoticeBook.h"
#include "Routing/WeightedTurn.h"

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
        const NoticeBook* notices = nullptr; // outlives the table
        const LimitBook* limits = nullptr; // as well
    };

    ServiceTable(Options options, Random& random);

    void setRouting(std::shared_ptr<const PreparedRouting> next);
    /** Records that are gone are kept until this time as lapsed, unless it has passed. */
    std::vector<BackendServerChange> setBackendServers(const Facts& facts, Milliseconds lapsesUntil, Milliseconds now);
    /** Takes those as gone that lapsed and did not come back in time. */
    std::vector<BackendServerChange> endLapses(Milliseconds now);
    /** When endLapses() has something to do; Never when nothing lapsed. */
    Milliseconds nextLapseEnd() const;
    /** Those that are new to this instance. */
    std::vector<DataCentreOrder> setDataCentres(const Facts& facts, Milliseconds now);
    void setInstances(const FleetCount& count);

    /** False before the first configuration. */
    bool isConfigured() const { return this->configured; }
    std::uint64_t version() const { return this->current().version; }
    const RoutingConfiguration& current() const { return this->routing->configuration; }
    const CustomerTable& customers() const { return this->routing->customers; }
    bool hasLimitedCustomers() const { return this->hasLimits; }
    /** Of the configuration in force on this instance; another one has a higher number. */
    std::uint64_t routingNumber() const { return this->routingCount; }
    std::shared_ptr<const Route> route(std::string_view host, std::string_view method, std::string_view path) const;
    /** The service that the next request of the route goes to; null when the route names an unknown one. */
    std::shared_ptr<ServiceState> serviceFor(const Route& route);
    /** A request of the route was sent to the service that serviceFor() gave. */
    void sent(const Route& route, const std::string& service);
    std::shared_ptr<ServiceState> byName(std::string_view name) const;
    std::shared_ptr<BackendServerState> backendServer(std::string_view id) const;
    std::size_t backendServers() const { return this->records.size(); }
    /** Data centres that have backend servers. */
    std::size_t dataCentres() const;
    /** Ids. */
    std::vector<std::string> backendServersIn(std::string_view dataCentre) const;
    const std::set<std::string>& emptiedDataCentres() const { return this->emptied; }
    std::span<const std::shared_ptr<ServiceState>> all() const { return this->services; }

private:
    /** Those of routes that are no longer there or are divided otherwise: what was owed before counts no more. */
    void forgetTurns();
    void put(const BackendServerRecord& record, Milliseconds now, std::vector<BackendServerChange>& changes);
    /** Adds the record to its service's pool, as its data centre is to be used. */
    void putIn(ServiceState& service, const BackendServerRecord& record, Milliseconds now) const;
    void order(const DataCentreOrder& order, Milliseconds now, std::vector<DataCentreOrder>& changes);
    void remove(const std::string& id, BackendServerChange::Kind kind, std::vector<BackendServerChange>& changes);
    /** True when the record may have lapsed only; it is then kept for a while. */
    bool lapse(const std::string& id, Milliseconds until, Milliseconds now, std::vector<BackendServerChange>& changes);

    Options options;
    Random* random;
    FleetCount instances;
    bool configured = false;
    bool hasLimits = false; // of customers
    std::uint64_t routingCount = 0;
    std::shared_ptr<const PreparedRouting> routing; // never null
    std::vector<std::shared_ptr<ServiceState>> services;
    std::unordered_map<std::string, std::shared_ptr<ServiceState>> byNames;
    std::map<std::string, BackendServerRecord, std::less<>> records;
    std::unordered_map<std::string, WeightedTurn> turns; // by route
    std::set<std::string> emptied; // data centres
    std::map<std::string, Milliseconds> lapsed; // until when the record may come back, by id
};

}
