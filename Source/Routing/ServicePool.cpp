#include "Routing/ServicePool.h"

#include <algorithm>

namespace burlreach {

ServicePool::ServicePool(std::unique_ptr<RoutingPolicy> givenPolicy, Options givenOptions)
    : options(givenOptions)
    , policy(std::move(givenPolicy))
    , outliers({})
{
}

void ServicePool::configure(const v1::Service& service, std::size_t connectionsPerBackendServer, std::size_t instances)
{
    const std::size_t share = connectionsPerBackendServer / std::max<std::size_t>(instances, 1);
    const auto highestInFlight = static_cast<double>(std::max<std::size_t>(share, 1));
    std::vector<std::shared_ptr<BackendServerState>> next;
    for (const v1::BackendServer& server : service.backend_servers()) {
        auto state = this->find(server.name());
        if (!state)
            state = std::make_shared<BackendServerState>(service.name(), server);
        state->configure(server, highestInFlight);
        state->setAdaptive(this->options.adaptive);
        next.push_back(std::move(state));
    }
    this->list = std::move(next);
}

std::vector<BackendServerState*> ServicePool::filter(
    std::span<const std::shared_ptr<BackendServerState>> tried, Milliseconds now, bool withEjected) const
{
    std::vector<BackendServerState*> found;
    for (const auto& server : this->list) {
        const bool isTried = std::find(tried.begin(), tried.end(), server) != tried.end();
        if (server->takesNewRequests() && !isTried && (withEjected || !server->isEjected(now)))
            found.push_back(server.get());
    }
    return found;
}

std::vector<BackendServerState*> ServicePool::takers(
    std::span<const std::shared_ptr<BackendServerState>> tried, Milliseconds now) const
{
    // Rather a tried or an ejected backend server than none.
    auto found = this->filter(tried, now, false);
    if (found.empty())
        found = this->filter({}, now, false);
    if (found.empty())
        found = this->filter({}, now, true);
    return found;
}

Choice ServicePool::choose(
    std::span<const std::shared_ptr<BackendServerState>> tried, const RoutingContext& context, Random& random)
{
    auto candidates = this->takers(tried, context.now);
    if (candidates.empty())
        return { .server = nullptr, .reason = NoChoice::NobodyTakes };
    std::erase_if(candidates, [&](const BackendServerState* server) { return !server->hasRoom(context.now); });
    if (candidates.empty())
        return { .server = nullptr, .reason = NoChoice::Full };
    const BackendServerState* chosen = this->policy->choose(candidates, context, random);
    return { .server = this->find(chosen->name()), .reason = NoChoice::Full };
}

bool ServicePool::checkOutlier(BackendServerState& server, Milliseconds now)
{
    if (!this->options.adaptive)
        return false;
    std::vector<BackendServerState*> pool;
    for (const auto& item : this->list)
        pool.push_back(item.get());
    return this->outliers.check(server, pool, now);
}

std::shared_ptr<BackendServerState> ServicePool::find(std::string_view name) const
{
    const auto found = std::find_if(
        this->list.begin(), this->list.end(), [name](const auto& server) { return server->name() == name; });
    return found == this->list.end() ? nullptr : *found;
}

double ServicePool::concurrency() const
{
    double sum = 0;
    for (const auto& server : this->list) {
        if (server->takesNewRequests())
            sum += server->concurrency();
    }
    return sum;
}

std::optional<Milliseconds> ServicePool::meanResponse() const
{
    Milliseconds sum;
    std::size_t known = 0;
    for (const auto& server : this->list) {
        if (!server->serviceTime().known())
            continue;
        sum = sum + server->serviceTime().value();
        ++known;
    }
    if (!known)
        return std::nullopt;
    return sum * (1 / static_cast<double>(known));
}

}
