#pragma once

#include "Node/PolicyFactory.h"
#include "Node/ServiceState.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace burlreach {

/** The services by name and by Host value. */
class ServiceTable {
public:
    explicit ServiceTable(std::shared_ptr<const PolicyFactory> factory);

    /** Keeps the state of services that stay. */
    void configure(const v1::Configuration& configuration, std::size_t instances);
    /** False before the first configuration. */
    bool isConfigured() const { return this->configured; }
    std::shared_ptr<ServiceState> byHost(std::string_view host) const;
    std::shared_ptr<ServiceState> byName(std::string_view name) const;
    std::span<const std::shared_ptr<ServiceState>> all() const { return this->services; }

private:
    std::shared_ptr<const PolicyFactory> factory;
    bool configured = false;
    std::vector<std::shared_ptr<ServiceState>> services;
    std::unordered_map<std::string, std::shared_ptr<ServiceState>> hosts;
};

}
