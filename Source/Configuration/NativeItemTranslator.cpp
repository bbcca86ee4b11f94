#include "Configuration/NativeItemTranslator.h"

#include "Configuration/ConfigurationCodec.h"

#include <algorithm>

namespace burlreach {

namespace {

constexpr const char* OwnProbePath = "/burlreach/load";
constexpr double DefaultProbeBudget = 180; // milliseconds of probe time per second: 30 probes of 6 ms
constexpr double Hundred = 100;
constexpr std::uint32_t RankFirst = 0;
constexpr std::uint32_t RankCanWait = 1;
constexpr Milliseconds DefaultDeadline{ 10000 };

std::uint32_t rankOf(v1::Priority priority)
{
    return priority == v1::CAN_WAIT ? RankCanWait : RankFirst;
}

Milliseconds deadlineOf(const v1::Service& service)
{
    const auto given = service.limits().deadline_milliseconds();
    return given ? Milliseconds{ static_cast<double>(given) } : DefaultDeadline;
}

/**
 * The service's rules, and defaults for the methods to which no rule for the path prefix "/" applies: GET, HEAD and
 * OPTIONS may repeat, all other methods run once.
 */
std::vector<v1::RequestRule> rulesOf(const v1::Service& service)
{
    std::vector<v1::RequestRule> rules(service.rules().begin(), service.rules().end());
    const auto hasRule = [&](std::string_view method) {
        return std::any_of(rules.begin(), rules.end(),
            [&](const v1::RequestRule& rule) { return rule.method() == method && rule.path_prefix() == "/"; });
    };
    const auto addRule = [&](std::string_view method, v1::Repeat repeat) {
        if (hasRule(method) || hasRule(""))
            return;
        v1::RequestRule rule;
        rule.set_method(std::string(method));
        rule.set_path_prefix("/");
        rule.set_repeat(repeat);
        rules.push_back(std::move(rule));
    };
    for (const char* method : { "GET", "HEAD", "OPTIONS" })
        addRule(method, v1::MAY_REPEAT);
    addRule("", v1::RUN_ONCE);
    return rules;
}

Route routeOf(const v1::Service& service, const std::string& host, const v1::RequestRule& rule)
{
    Route route;
    route.name = service.name() + " " + host + " " + rule.method() + rule.path_prefix();
    route.host = host;
    route.method = rule.method();
    route.pathPrefix = rule.path_prefix();
    route.repeat = rule.repeat() == v1::MAY_REPEAT ? Repeat::MayRepeat : Repeat::RunOnce;
    route.timeout = rule.deadline_milliseconds() ? Milliseconds{ static_cast<double>(rule.deadline_milliseconds()) }
                                                 : deadlineOf(service);
    route.targetLatency
        = rule.target_milliseconds() ? Milliseconds{ static_cast<double>(rule.target_milliseconds()) } : route.timeout;
    route.rank = rankOf(rule.priority());
    route.isPublic = rule.without_key();
    route.services.push_back({ .service = service.name(), .weight = 1 });
    return route;
}

ServiceDescription describe(const v1::Service& service)
{
    const v1::Limits& limits = service.limits();
    ServiceDescription description;
    description.name = service.name();
    description.probePath = OwnProbePath;
    if (limits.connections_per_backend_server())
        description.connectionsPerBackendServer = limits.connections_per_backend_server();
    if (limits.queue_length())
        description.queueLength = limits.queue_length();
    if (limits.retry_percent())
        description.retryShare = limits.retry_percent() / Hundred;
    if (limits.probe_budget_milliseconds())
        description.probeShare = std::min(1.0, limits.probe_budget_milliseconds() / DefaultProbeBudget);
    description.coldRequestsPerSecond = limits.cold_requests_per_second();
    description.coldStart = { static_cast<double>(limits.cold_start_milliseconds()) };
    return description;
}

Customer customerOf(const v1::Customer& given)
{
    Customer customer;
    customer.name = given.name();
    for (const std::string& text : given.key_digests()) {
        if (const auto digest = parseKeyDigest(text))
            customer.keys.push_back(*digest);
    }
    if (given.priority() != v1::PRIORITY_UNSPECIFIED)
        customer.rank = rankOf(given.priority());
    customer.limit = { .requestsPerSecond = static_cast<double>(given.requests_per_second()),
        .burst = static_cast<double>(given.burst()) };
    return customer;
}

BackendServerRecord recordOf(const v1::Service& service, const v1::BackendServer& server)
{
    BackendServerRecord record;
    record.address = { .host = server.address(), .port = static_cast<std::uint16_t>(server.port()) };
    // The address is part of the id: at another address it is another backend server.
    record.id = service.name() + "/" + server.name() + "@" + record.address.text();
    record.life = server.life();
    record.service = service.name();
    record.dataCentre = server.data_centre();
    record.version = server.version();
    if (server.slots())
        record.slots = server.slots();
    record.draining = server.draining();
    return record;
}

}

ConfigurationUpdate configurationUpdateOf(const v1::Configuration& configuration)
{
    ConfigurationUpdate facts;
    facts.areAllBackendServers = true;
    RoutingConfiguration& routing = facts.configuration.emplace();
    routing.version = configuration.revision();
    facts.areAllDataCentres = true;
    for (const std::string& dataCentre : configuration.emptied_data_centres())
        facts.dataCentres.push_back({ .dataCentre = dataCentre, .emptied = true });
    facts.areAllRollouts = true;
    for (const v1::Rollout& rollout : configuration.rollouts())
        facts.rollouts.push_back({ .service = rollout.service(),
            .targetVersion = rollout.new_version(),
            .duration = { static_cast<double>(rollout.duration_milliseconds()) },
            .number = rollout.begun_at_revision() });
    for (const v1::Customer& customer : configuration.customers())
        routing.customers.push_back(customerOf(customer));
    for (const v1::Service& service : configuration.services()) {
        routing.services.push_back(describe(service));
        for (const std::string& host : service.hosts()) {
            for (const v1::RequestRule& rule : rulesOf(service))
                routing.routes.push_back(routeOf(service, host, rule));
        }
        for (const v1::BackendServer& server : service.backend_servers())
            facts.backendServers.push_back(recordOf(service, server));
    }
    return facts;
}

ConfigurationUpdate NativeItemTranslator::translate(const StoreItem& item) const
{
    if (item.key != NativeConfigurationKey || item.removed)
        return {};
    if (const auto configuration = decodeConfiguration(item.value))
        return configurationUpdateOf(*configuration);
    ConfigurationUpdate facts;
    facts.findings.add(item.key, "is not a configuration; restore the key from a backup");
    return facts;
}

}
