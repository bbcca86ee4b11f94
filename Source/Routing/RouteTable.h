#pragma once

#include "Configuration/RoutingConfiguration.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace burlreach {

/**
 * Finds the route of a request: among the routes of its host and method, the one with the longest path prefix. Of equal
 * prefixes, a route for one method takes precedence over a route for all methods.
 */
class RouteTable {
public:
    RouteTable() = default;
    explicit RouteTable(const RoutingConfiguration& configuration);

    /** Null when no route matches. The path may include a query. */
    std::shared_ptr<const Route> find(std::string_view host, std::string_view method, std::string_view path) const;
    std::size_t size() const { return this->count; }

private:
    std::unordered_map<std::string, std::vector<std::shared_ptr<const Route>>> byHost;
    std::size_t count = 0;
};

}
