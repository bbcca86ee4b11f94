#include "Node/LoadExchange.h"

#include "Base/Hash.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

std::uint32_t ageOf(Milliseconds at, Milliseconds now)
{
    return static_cast<std::uint32_t>(std::max(0.0, (now - at).count));
}

/** A backend server with the service that it belongs to. */
struct Place {
    const ServiceState* service = nullptr;
    const BackendServerState* server = nullptr;
};

}

LoadExchange::LoadExchange(Options givenOptions, const ServiceTable& givenServices)
    : options(std::move(givenOptions))
    , services(&givenServices)
    , ownHash(shortHashOf(this->options.instanceName))
{
}

void LoadExchange::reported(BackendServerState& server, std::uint32_t inFlight, Milliseconds now) const
{
    server.reported({ .inFlight = inFlight, .at = now, .origin = this->ownHash });
}

bool LoadExchange::leavingSign(BackendServerState& server, bool leaving, Milliseconds at) const
{
    return server.leavingSign(leaving, at);
}

void LoadExchange::fill(peers::Heartbeat& heartbeat, Milliseconds now)
{
    this->fillSigns(heartbeat, now);
    this->fillFigures(heartbeat, now);
}

void LoadExchange::fillSigns(peers::Heartbeat& heartbeat, Milliseconds now) const
{
    constexpr Milliseconds signsPassedOn{ 60000 };
    for (const auto& service : this->services->all()) {
        for (const auto& server : service->pool.servers()) {
            if (now - server->leavingSignAt() > signsPassedOn)
                continue;
            peers::LeavingSign* sign = heartbeat.add_leaving_signs();
            sign->set_service(service->service.name());
            sign->set_backend_server(server->name());
            sign->set_age_milliseconds(ageOf(server->leavingSignAt(), now));
            sign->set_leaving(server->isLeaving());
        }
    }
}

void LoadExchange::fillFigures(peers::Heartbeat& heartbeat, Milliseconds now)
{
    std::vector<Place> places;
    for (const auto& service : this->services->all()) {
        for (const auto& server : service->pool.servers())
            places.push_back({ .service = service.get(), .server = server.get() });
    }
    const std::size_t start = this->nextFigure;
    std::size_t looked = 0;
    while (looked < places.size()
        && static_cast<std::size_t>(heartbeat.loads_size()) < this->options.figuresPerHeartbeat) {
        const Place& place = places[(start + looked) % places.size()];
        ++looked;
        const LoadReport& report = place.server->report();
        if (now - report.at > this->options.oldestFigure)
            continue;
        peers::LoadFigure* figure = heartbeat.add_loads();
        figure->set_backend_server(place.server->hash());
        figure->set_in_flight(report.inFlight);
        figure->set_age_milliseconds(ageOf(report.at, now));
        figure->set_origin(report.origin);
    }
    this->nextFigure = places.empty() ? 0 : (start + looked) % places.size();
}

std::shared_ptr<BackendServerState> LoadExchange::find(const std::string& service, const std::string& server) const
{
    const auto state = this->services->byName(service);
    return state ? state->pool.find(server) : nullptr;
}

std::shared_ptr<BackendServerState> LoadExchange::findByHash(std::uint32_t hash) const
{
    for (const auto& service : this->services->all()) {
        for (const auto& server : service->pool.servers()) {
            if (server->hash() == hash)
                return server;
        }
    }
    return nullptr;
}

bool LoadExchange::receive(const peers::Heartbeat& heartbeat, Milliseconds now) const
{
    for (const peers::LoadFigure& figure : heartbeat.loads()) {
        const auto server = figure.origin() != this->ownHash ? this->findByHash(figure.backend_server()) : nullptr;
        const Milliseconds at = now - Milliseconds{ static_cast<double>(figure.age_milliseconds()) };
        if (server)
            server->reported({ .inFlight = figure.in_flight(), .at = at, .origin = figure.origin() });
    }
    bool isNews = false;
    for (const peers::LeavingSign& sign : heartbeat.leaving_signs()) {
        const auto server = this->find(sign.service(), sign.backend_server());
        const Milliseconds at = now - Milliseconds{ static_cast<double>(sign.age_milliseconds()) };
        if (server && server->leavingSign(sign.leaving(), at))
            isNews = true;
    }
    return isNews;
}

}
