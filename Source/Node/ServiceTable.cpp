#include "Node/ServiceTable.h"

#include <algorithm>
#include <set>
#include <utility>

namespace burlreach {

namespace {

BackendServerChange::Kind kindOf(const BackendServerRecord& before, const BackendServerRecord& next, bool isNew)
{
    const bool isOtherLife = isNew || next.life != before.life;
    if (next.draining && (isOtherLife || !before.draining))
        return BackendServerChange::Kind::Draining;
    if (isNew)
        return BackendServerChange::Kind::Added;
    return isOtherLife ? BackendServerChange::Kind::Restarted : BackendServerChange::Kind::Changed;
}

}

ServiceTable::ServiceTable(Options givenOptions, Random& givenRandom)
    : options(std::move(givenOptions))
    , random(&givenRandom)
    , routing(std::make_shared<PreparedRouting>())
{
}

void ServiceTable::setRouting(std::shared_ptr<const PreparedRouting> next)
{
    this->routing = std::move(next);
    this->configured = true;
    ++this->routingCount;
    this->dropStaleTurns();
    std::vector<std::shared_ptr<ServiceState>> kept;
    std::unordered_map<std::string, std::shared_ptr<ServiceState>> keptNames;
    for (const ServiceDescription& description : this->current().services) {
        auto state = this->byName(description.name);
        const bool isNew = !state;
        if (isNew) {
            // A copy of the generator, so that this instance's other random choices stay the same.
            state = std::make_shared<ServiceState>(this->options.policies->create(),
                this->options.policies->poolOptions(), this->options.retries, *this->random);
        }
        state->retryBudget.setShare(std::min(this->options.retries.share, description.retryShare));
        state->configure(description, this->instances);
        for (const auto& [id, record] : this->records) {
            if (isNew && record.service == description.name)
                this->addToPool(*state, record, LongAgo);
        }
        kept.push_back(state);
        keptNames[description.name] = std::move(state);
    }
    this->services = std::move(kept);
    this->byNames = std::move(keptNames);
}

void ServiceTable::dropStaleTurns()
{
    // Searches the routes for each turn, because few of the possibly many routes have several services.
    std::erase_if(this->turns, [&](const auto& item) {
        const auto& routes = this->current().routes;
        return std::none_of(routes.begin(), routes.end(),
            [&](const Route& route) { return route.name == item.first && item.second.isFor(route.services); });
    });
}

void ServiceTable::setInstances(const FleetCount& count)
{
    if (count == this->instances)
        return;
    this->instances = count;
    for (const auto& service : this->services)
        service->configure(ServiceDescription(service->description), this->instances);
}

void ServiceTable::applyRecord(
    const BackendServerRecord& record, Milliseconds now, std::vector<BackendServerChange>& changes)
{
    const auto [known, isNew] = this->records.emplace(record.id, record);
    // A late write of an earlier process; the process of the higher life is the one that runs.
    if (record.life < known->second.life)
        return;
    this->lapsedUntil.erase(record.id);
    const BackendServerRecord before = std::exchange(known->second, record);
    if (!isNew)
        this->removeFromDataCentre(before.dataCentre);
    ++this->serversByDataCentre[record.dataCentre];
    if (before.service != record.service) {
        if (const auto service = this->byName(before.service))
            service->pool.remove(record.id);
    }
    if (const auto service = this->byName(record.service))
        this->addToPool(*service, record, now);
    changes.push_back({ .kind = kindOf(before, record, isNew), .record = record });
}

void ServiceTable::addToPool(ServiceState& service, const BackendServerRecord& record, Milliseconds now) const
{
    const auto server = service.pool.put(record, now);
    server->setEmptied(this->emptiedCentres.contains(record.dataCentre));
    // The server's notices and limit outlive its record, which may have been missing for a moment.
    const auto* limit = this->options.limits ? this->options.limits->find(record.id, record.life) : nullptr;
    if (limit && limit->perSecond)
        server->permits().setLimited(limit->at);
    if (!this->options.notices)
        return;
    if (this->options.notices->isLeaving(record.id, record.life))
        server->setLeaving();
    const Milliseconds pausedUntil = this->options.notices->pausedUntil(record.id, record.life);
    if (pausedUntil > now)
        server->pauseUntil(pausedUntil);
}

void ServiceTable::applyOrder(const DataCentreOrder& order, Milliseconds now, std::vector<DataCentreOrder>& changes)
{
    const bool isNews = order.emptied ? this->emptiedCentres.insert(order.dataCentre).second
                                      : this->emptiedCentres.erase(order.dataCentre) > 0;
    if (!isNews)
        return;
    for (const auto& service : this->services) {
        const Milliseconds cold = service->description.coldStart;
        for (const auto& server : service->pool.servers()) {
            if (server->record().dataCentre != order.dataCentre)
                continue;
            server->setEmptied(order.emptied);
            // Servers that were idle start cold; a later answer with the server's own estimate replaces this one.
            if (!order.emptied && cold.count > 0)
                server->setColdFor(cold, now);
        }
    }
    changes.push_back(order);
}

std::vector<DataCentreOrder> ServiceTable::setDataCentres(const ConfigurationUpdate& facts, Milliseconds now)
{
    std::vector<DataCentreOrder> changes;
    for (const DataCentreOrder& order : facts.dataCentres)
        this->applyOrder(order, now, changes);
    if (!facts.areAllDataCentres)
        return changes;
    const std::set<std::string> before = this->emptiedCentres;
    for (const std::string& dataCentre : before) {
        const bool isNamed = std::any_of(facts.dataCentres.begin(), facts.dataCentres.end(),
            [&](const DataCentreOrder& order) { return order.dataCentre == dataCentre; });
        if (!isNamed)
            this->applyOrder({ .dataCentre = dataCentre, .emptied = false }, now, changes);
    }
    return changes;
}

void ServiceTable::remove(
    const std::string& id, BackendServerChange::Kind kind, std::vector<BackendServerChange>& changes)
{
    this->lapsedUntil.erase(id);
    const auto known = this->records.find(id);
    if (known == this->records.end())
        return;
    if (const auto service = this->byName(known->second.service))
        service->pool.remove(id);
    this->removeFromDataCentre(known->second.dataCentre);
    changes.push_back({ .kind = kind, .record = known->second });
    this->records.erase(known);
}

void ServiceTable::removeFromDataCentre(const std::string& dataCentre)
{
    const auto found = this->serversByDataCentre.find(dataCentre);
    if (--found->second == 0)
        this->serversByDataCentre.erase(found);
}

bool ServiceTable::keepAsLapsed(
    const std::string& id, Milliseconds until, Milliseconds now, std::vector<BackendServerChange>& changes)
{
    const auto known = this->records.find(id);
    if (until <= now || known == this->records.end() || known->second.draining)
        return false;
    const bool isNew = this->lapsedUntil.emplace(id, until).second;
    if (isNew)
        changes.push_back({ .kind = BackendServerChange::Kind::Lapsed, .record = known->second });
    return true;
}

std::vector<BackendServerChange> ServiceTable::removeExpiredLapses(Milliseconds now)
{
    std::vector<BackendServerChange> changes;
    std::vector<std::string> ended;
    for (const auto& [id, until] : this->lapsedUntil) {
        if (until <= now)
            ended.push_back(id);
    }
    for (const std::string& id : ended)
        this->remove(id, BackendServerChange::Kind::Gone, changes);
    return changes;
}

Milliseconds ServiceTable::nextLapseExpiry() const
{
    Milliseconds next = Never;
    for (const auto& [id, until] : this->lapsedUntil)
        next = std::min(next, until);
    return next;
}

std::vector<BackendServerChange> ServiceTable::setBackendServers(
    const ConfigurationUpdate& facts, Milliseconds lapseDeadline, Milliseconds now)
{
    std::vector<BackendServerChange> changes;
    for (const BackendServerRecord& record : facts.backendServers)
        this->applyRecord(record, now, changes);
    for (const std::string& id : facts.goneBackendServers) {
        if (!this->keepAsLapsed(id, lapseDeadline, now, changes))
            this->remove(id, BackendServerChange::Kind::Gone, changes);
    }
    for (const std::string& id : facts.unusableBackendServers)
        this->remove(id, BackendServerChange::Kind::Unusable, changes);
    if (!facts.areAllBackendServers)
        return changes;
    std::set<std::string_view> named;
    for (const BackendServerRecord& record : facts.backendServers)
        named.insert(record.id);
    std::vector<std::string> gone;
    for (const auto& [id, record] : this->records) {
        if (!named.contains(id))
            gone.push_back(id);
    }
    for (const std::string& id : gone)
        this->remove(id, BackendServerChange::Kind::Gone, changes);
    return changes;
}

std::shared_ptr<const Route> ServiceTable::route(
    std::string_view host, std::string_view method, std::string_view path) const
{
    return this->routing->routes.find(host, method, path);
}

std::shared_ptr<ServiceState> ServiceTable::chooseService(const Route& route)
{
    if (route.services.size() == 1)
        return this->byName(route.services.front().service);
    auto turn = this->turns.find(route.name);
    if (turn == this->turns.end() || !turn->second.isFor(route.services))
        turn = this->turns.insert_or_assign(route.name, WeightedRoundRobin(route.services, this->random->unit())).first;
    return this->byName(turn->second.next());
}

void ServiceTable::recordSent(const Route& route, const std::string& service)
{
    // The request may still use an earlier version of the route, with other weights.
    const auto turn = this->turns.find(route.name);
    if (turn != this->turns.end() && turn->second.isFor(route.services))
        turn->second.sent(service);
}

std::shared_ptr<ServiceState> ServiceTable::byName(std::string_view name) const
{
    const auto found = this->byNames.find(std::string(name));
    return found == this->byNames.end() ? nullptr : found->second;
}

std::vector<std::string> ServiceTable::backendServersIn(std::string_view dataCentre) const
{
    std::vector<std::string> ids;
    for (const auto& [id, record] : this->records) {
        if (record.dataCentre == dataCentre)
            ids.push_back(id);
    }
    return ids;
}

std::shared_ptr<BackendServerState> ServiceTable::backendServer(std::string_view id) const
{
    const auto record = this->records.find(id);
    if (record == this->records.end())
        return nullptr;
    const auto service = this->byName(record->second.service);
    return service ? service->pool.find(id) : nullptr;
}

}
