#include "Program/ConfigurationView.h"

#include <algorithm>

namespace burlreach {

namespace {

void addBackendServers(const ServiceState& service, v1::Service& shown)
{
    for (const auto& server : service.pool.servers()) {
        const BackendServerRecord& record = server->record();
        v1::BackendServer* item = shown.add_backend_servers();
        item->set_name(record.id);
        item->set_address(record.address.host);
        item->set_port(record.address.port);
        item->set_data_centre(record.dataCentre);
        item->set_draining(record.draining);
        item->set_slots(static_cast<std::uint32_t>(record.slots));
    }
}

void addRule(const Route& route, v1::Service& shown)
{
    const auto& hosts = shown.hosts();
    if (std::find(hosts.begin(), hosts.end(), route.host) == hosts.end())
        shown.add_hosts(route.host);
    v1::RequestRule* rule = shown.add_rules();
    rule->set_method(route.method);
    rule->set_path_prefix(route.pathPrefix);
    rule->set_repeat(route.repeat == Repeat::MayRepeat ? v1::MAY_REPEAT : v1::RUN_ONCE);
    rule->set_priority(route.rank ? v1::CAN_WAIT : v1::FIRST);
    rule->set_deadline_milliseconds(static_cast<std::uint32_t>(route.timeout.count));
}

bool leadsTo(const Route& route, const std::string& service)
{
    return std::any_of(route.services.begin(), route.services.end(),
        [&](const WeightedService& part) { return part.service == service; });
}

}

v1::Configuration configurationView(const ServiceTable& services)
{
    v1::Configuration view;
    view.set_revision(static_cast<std::uint32_t>(services.version()));
    for (const auto& service : services.all()) {
        v1::Service* shown = view.add_services();
        shown->set_name(service->description.name);
        for (const Route& route : services.current().routes) {
            if (leadsTo(route, service->description.name))
                addRule(route, *shown);
        }
        addBackendServers(*service, *shown);
        shown->mutable_limits()->set_connections_per_backend_server(
            static_cast<std::uint32_t>(service->description.connectionsPerBackendServer));
    }
    for (const std::string& dataCentre : services.emptiedDataCentres())
        view.add_emptied_data_centres(dataCentre);
    return view;
}

}
