#include "Tests/Virtual/LineItemTranslator.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace burlreach {

namespace {

constexpr std::string_view ServerPrefix = "server/";

ConfigurationUpdate documentFacts(const StoreItem& item)
{
    ConfigurationUpdate facts;
    facts.configuration.emplace();
    facts.configuration->services.push_back({ .name = std::string(LineServiceName) });
    std::istringstream lines(item.value);
    Route route;
    route.services.push_back({ .service = std::string(LineServiceName) });
    while (lines >> route.name >> route.host >> route.pathPrefix)
        facts.configuration->routes.push_back(route);
    return facts;
}

ConfigurationUpdate serverFacts(const StoreItem& item)
{
    ConfigurationUpdate facts;
    BackendServerRecord record;
    record.id = item.key.substr(ServerPrefix.size());
    if (item.removed) {
        facts.goneBackendServers.push_back(std::move(record.id));
        return facts;
    }
    record.service = LineServiceName;
    record.address = { .host = "10.0.9.1", .port = 80 };
    record.dataCentre = "dc-1";
    record.draining = item.value == "draining";
    facts.backendServers.push_back(std::move(record));
    return facts;
}

}

ConfigurationUpdate LineItemTranslator::translate(const StoreItem& item) const
{
    this->longestTranslated = std::max(this->longestTranslated, item.value.size());
    return item.key == LineDocumentKey ? documentFacts(item) : serverFacts(item);
}

}
