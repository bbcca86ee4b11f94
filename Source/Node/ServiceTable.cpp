#include "Node/ServiceTable.h"

#include <algorithm>
#include <utility>

namespace burlreach {

ServiceTable::ServiceTable(std::shared_ptr<const PolicyFactory> givenFactory)
    : factory(std::move(givenFactory))
{
}

void ServiceTable::configure(const v1::Configuration& configuration, std::size_t instances)
{
    std::vector<std::shared_ptr<ServiceState>> next;
    this->configured = true;
    this->hosts.clear();
    for (const v1::Service& service : configuration.services()) {
        auto state = this->byName(service.name());
        if (!state)
            state = std::make_shared<ServiceState>(this->factory->create(), this->factory->poolOptions());
        state->configure(service, instances);
        for (const std::string& host : service.hosts())
            this->hosts.emplace(host, state);
        next.push_back(std::move(state));
    }
    this->services = std::move(next);
}

std::shared_ptr<ServiceState> ServiceTable::byHost(std::string_view host) const
{
    const auto found = this->hosts.find(std::string(host));
    return found == this->hosts.end() ? nullptr : found->second;
}

std::shared_ptr<ServiceState> ServiceTable::byName(std::string_view name) const
{
    const auto found = std::find_if(this->services.begin(), this->services.end(),
        [name](const auto& state) { return state->service.name() == name; });
    return found == this->services.end() ? nullptr : *found;
}

}
