#include "Node/LoadView.h"

namespace burlreach {

namespace {

std::string stateOf(const BackendServerState& server, Milliseconds now)
{
    if (server.record().draining)
        return "draining";
    if (server.isEmptied())
        return "emptied";
    if (!server.takesNewRequests())
        return "leaving";
    if (server.isPaused(now))
        return "paused";
    if (server.permits().isLimited())
        return "limited";
    if (server.isEjected(now))
        return "ejected";
    return server.isCold(now) ? "cold" : "taking";
}

}

v1::ShowLoadAnswer describeLoad(const ServiceTable& services, const std::string& name, Milliseconds now)
{
    v1::ShowLoadAnswer answer;
    const auto service = services.byName(name);
    if (!service) {
        v1::Finding* finding = answer.add_findings();
        finding->set_place("/service");
        finding->set_message("there is no service \"" + name + "\"; see the list of services");
        return answer;
    }
    for (const auto& server : service->pool.servers()) {
        v1::BackendServerLoad* load = answer.add_backend_servers();
        load->set_backend_server(server->id());
        load->set_data_centre(server->record().dataCentre);
        load->set_own_in_flight(static_cast<std::uint32_t>(server->inFlight()));
        load->set_response_milliseconds(0);
        load->set_state(stateOf(*server, now));
        const TimedLoadReport& report = server->report();
        if (report.at == LongAgo)
            continue;
        load->set_reported_in_flight(report.load.running + report.load.waiting);
        load->set_work_percent(report.load.workPercent);
        load->set_report_age_milliseconds(static_cast<std::uint32_t>((now - report.at).count));
    }
    return answer;
}

}
