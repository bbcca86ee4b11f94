#include "Routing/RouteTable.h"

#include <algorithm>

namespace burlreach {

namespace {

bool isMoreExact(const std::shared_ptr<const Route>& left, const std::shared_ptr<const Route>& right)
{
    if (left->pathPrefix.size() != right->pathPrefix.size())
        return left->pathPrefix.size() > right->pathPrefix.size();
    return !left->method.empty() && right->method.empty();
}

std::string_view withoutPort(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    const bool isBracketed = host.ends_with(']');
    return colon == std::string_view::npos || isBracketed ? host : host.substr(0, colon);
}

}

RouteTable::RouteTable(const RoutingConfiguration& configuration)
    : count(configuration.routes.size())
{
    for (const Route& route : configuration.routes)
        this->byHost[route.host].push_back(std::make_shared<const Route>(route));
    for (auto& [host, routes] : this->byHost)
        std::stable_sort(routes.begin(), routes.end(), isMoreExact);
}

std::shared_ptr<const Route> RouteTable::find(
    std::string_view host, std::string_view method, std::string_view path) const
{
    const std::string_view pathOnly = path.substr(0, path.find('?'));
    auto routes = this->byHost.find(std::string(host));
    if (routes == this->byHost.end())
        routes = this->byHost.find(std::string(withoutPort(host)));
    if (routes == this->byHost.end())
        return nullptr;
    const auto found = std::find_if(routes->second.begin(), routes->second.end(), [&](const auto& route) {
        return (route->method.empty() || route->method == method) && pathOnly.starts_with(route->pathPrefix);
    });
    return found == routes->second.end() ? nullptr : *found;
}

}
