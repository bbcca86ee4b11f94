#include "Configuration/ConfigurationChecker.h"

#include "Base/NetworkAddress.h"
#include "Customers/KeyDigest.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>

namespace burlreach {

namespace {

constexpr std::size_t MaximumNameLength = 63;
constexpr std::size_t MaximumServices = 200;
constexpr std::size_t MaximumBackendServers = 2000;
constexpr std::size_t MaximumRules = 200;
constexpr std::size_t MaximumSlots = 10000;
constexpr std::size_t MaximumPort = 65535;
constexpr std::size_t MaximumConnections = 100000;
constexpr std::size_t MaximumDeadline = 3600000;
constexpr std::size_t MaximumQueueLength = 100000;
constexpr std::size_t MaximumPercent = 100;
constexpr std::size_t MaximumProbeBudget = 1000;
constexpr std::size_t MaximumBodyBytes = 67108864;
constexpr std::size_t MaximumColdRate = 100000;
constexpr std::size_t MaximumPathLength = 1024;
constexpr std::size_t MaximumCustomers = 10000;
constexpr std::size_t MaximumRate = 1000000;

bool isNameCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '.'
        || character == '_';
}

bool isUpperCaseWord(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
        [](char character) { return std::isupper(static_cast<unsigned char>(character)) != 0; });
}

std::string indexed(const std::string& place, int index)
{
    return place + "/" + std::to_string(index);
}

}

Findings ConfigurationChecker::check(const v1::Configuration& configuration)
{
    this->findings = {};
    this->checkAtMost(static_cast<std::size_t>(configuration.services_size()), MaximumServices, "/services");
    std::set<std::string_view> names;
    std::set<std::string_view> hosts;
    for (int index = 0; index < configuration.services_size(); ++index) {
        const v1::Service& service = configuration.services(index);
        const std::string place = indexed("/services", index);
        this->checkService(service, place);
        if (!names.insert(service.name()).second)
            this->findings.add(place + "/name", "\"" + service.name() + "\" already exists; choose another name");
        for (const std::string& host : service.hosts()) {
            if (!hosts.insert(host).second)
                this->findings.add(
                    place + "/hosts", "\"" + host + "\" already belongs to a service; remove it there first");
        }
    }
    this->checkEmptiedDataCentres(configuration);
    this->checkCustomers(configuration);
    if (configuration.ByteSizeLong() > MaximumConfigurationBytes)
        this->findings.add("/",
            "is larger than " + std::to_string(MaximumConfigurationBytes)
                + " bytes; remove services or rules that are no longer used");
    return this->findings;
}

void ConfigurationChecker::checkEmptiedDataCentres(const v1::Configuration& configuration)
{
    std::set<std::string_view> names;
    for (int index = 0; index < configuration.emptied_data_centres_size(); ++index) {
        const std::string& name = configuration.emptied_data_centres(index);
        const std::string place = indexed("/emptied_data_centres", index);
        this->checkName(name, place);
        if (!names.insert(name).second)
            this->findings.add(place, "\"" + name + "\" is a duplicate; write each data centre once");
    }
}

void ConfigurationChecker::checkCustomers(const v1::Configuration& configuration)
{
    this->checkAtMost(static_cast<std::size_t>(configuration.customers_size()), MaximumCustomers, "/customers");
    std::set<std::string_view> names;
    std::map<std::string_view, std::string_view> holders;
    for (int index = 0; index < configuration.customers_size(); ++index) {
        const v1::Customer& customer = configuration.customers(index);
        const std::string place = indexed("/customers", index);
        this->checkCustomer(customer, place);
        if (!names.insert(customer.name()).second)
            this->findings.add(place + "/name", "\"" + customer.name() + "\" already exists; choose another name");
        for (const std::string& digest : customer.key_digests()) {
            const auto [holder, isNew] = holders.emplace(digest, customer.name());
            if (!isNew)
                this->findings.add(place + "/key_digests",
                    "has a key that already belongs to \"" + std::string(holder->second)
                        + "\"; give each customer keys of its own");
        }
    }
}

void ConfigurationChecker::checkCustomer(const v1::Customer& customer, const std::string& place)
{
    this->checkName(customer.name(), place + "/name");
    for (int index = 0; index < customer.key_digests_size(); ++index) {
        // The finding does not repeat the text, because it may be a key.
        if (!parseKeyDigest(customer.key_digests(index)))
            this->findings.add(indexed(place + "/key_digests", index),
                "is not a SHA-256 digest; write its 64 lower-case hexadecimal digits, never the key itself");
    }
    this->checkAtMost(customer.requests_per_second(), MaximumRate, place + "/requests_per_second");
    this->checkAtMost(customer.burst(), MaximumRate, place + "/burst");
    if (!v1::Priority_IsValid(customer.priority()))
        this->findings.add(place + "/priority", "is not known; write CAN_WAIT or FIRST");
}

void ConfigurationChecker::checkService(const v1::Service& service, const std::string& place)
{
    this->checkName(service.name(), place + "/name");
    this->checkHosts(service, place + "/hosts");
    this->checkBackendServers(service, place + "/backend_servers");
    this->checkRules(service, place + "/rules");
    this->checkLimits(service.limits(), place + "/limits");
}

void ConfigurationChecker::checkHosts(const v1::Service& service, const std::string& place)
{
    if (service.hosts().empty())
        this->findings.add(place, "is empty; write at least one Host value, such as \"bookings.example\"");
    for (int index = 0; index < service.hosts_size(); ++index)
        this->checkName(service.hosts(index), indexed(place, index));
}

void ConfigurationChecker::checkBackendServers(const v1::Service& service, const std::string& place)
{
    this->checkAtMost(static_cast<std::size_t>(service.backend_servers_size()), MaximumBackendServers, place);
    std::set<std::string_view> names;
    for (int index = 0; index < service.backend_servers_size(); ++index) {
        const v1::BackendServer& server = service.backend_servers(index);
        this->checkBackendServer(server, indexed(place, index));
        if (!names.insert(server.name()).second)
            this->findings.add(
                indexed(place, index) + "/name", "\"" + server.name() + "\" already exists; choose another name");
    }
}

void ConfigurationChecker::checkBackendServer(const v1::BackendServer& server, const std::string& place)
{
    this->checkName(server.name(), place + "/name");
    if (!isIpAddress(server.address()))
        this->findings.add(
            place + "/address", "\"" + server.address() + "\" is not an IP address; write one such as \"10.0.0.7\"");
    if (!server.port() || server.port() > MaximumPort)
        this->findings.add(place + "/port", "is " + std::to_string(server.port()) + "; write a port from 1 to 65535");
    this->checkName(server.data_centre(), place + "/data_centre");
    this->checkAtMost(server.slots(), MaximumSlots, place + "/slots");
}

void ConfigurationChecker::checkRules(const v1::Service& service, const std::string& place)
{
    this->checkAtMost(static_cast<std::size_t>(service.rules_size()), MaximumRules, place);
    std::set<std::string> keys;
    for (int index = 0; index < service.rules_size(); ++index) {
        const v1::RequestRule& rule = service.rules(index);
        this->checkRule(rule, indexed(place, index));
        if (!keys.insert(rule.method() + " " + rule.path_prefix()).second)
            this->findings.add(
                indexed(place, index), "has the same method and path_prefix as another rule; keep one of them");
    }
}

void ConfigurationChecker::checkRule(const v1::RequestRule& rule, const std::string& place)
{
    if (!isUpperCaseWord(rule.method()))
        this->findings.add(place + "/method",
            "\"" + rule.method()
                + "\" is not a method; write one in capitals, such as \"POST\", or leave it empty for all methods");
    if (rule.path_prefix().empty() || rule.path_prefix().front() != '/'
        || rule.path_prefix().size() > MaximumPathLength)
        this->findings.add(
            place + "/path_prefix", "does not begin with \"/\" or is too long; write a prefix such as \"/bookings\"");
    if (rule.repeat() == v1::REPEAT_UNSPECIFIED || !v1::Repeat_IsValid(rule.repeat()))
        this->findings.add(place + "/repeat", "is not set; write MAY_REPEAT or RUN_ONCE");
    if (!v1::Priority_IsValid(rule.priority()))
        this->findings.add(place + "/priority", "is not known; write CAN_WAIT or FIRST");
    this->checkAtMost(rule.deadline_milliseconds(), MaximumDeadline, place + "/deadline_milliseconds");
    this->checkAtMost(rule.target_milliseconds(), MaximumDeadline, place + "/target_milliseconds");
}

void ConfigurationChecker::checkLimits(const v1::Limits& limits, const std::string& place)
{
    this->checkAtMost(
        limits.connections_per_backend_server(), MaximumConnections, place + "/connections_per_backend_server");
    this->checkAtMost(limits.deadline_milliseconds(), MaximumDeadline, place + "/deadline_milliseconds");
    this->checkAtMost(limits.queue_length(), MaximumQueueLength, place + "/queue_length");
    this->checkAtMost(limits.retry_percent(), MaximumPercent, place + "/retry_percent");
    this->checkAtMost(limits.probe_budget_milliseconds(), MaximumProbeBudget, place + "/probe_budget_milliseconds");
    this->checkAtMost(limits.maximum_body_bytes(), MaximumBodyBytes, place + "/maximum_body_bytes");
    this->checkAtMost(limits.cold_requests_per_second(), MaximumColdRate, place + "/cold_requests_per_second");
    this->checkAtMost(limits.cold_start_milliseconds(), MaximumDeadline, place + "/cold_start_milliseconds");
}

void ConfigurationChecker::checkName(std::string_view name, const std::string& place)
{
    const bool isGood
        = !name.empty() && name.size() <= MaximumNameLength && std::all_of(name.begin(), name.end(), isNameCharacter);
    if (isGood)
        return;
    std::string message = "\"";
    message.append(name.substr(0, MaximumNameLength));
    message.append("\" is not a valid name; write 1 to 63 letters, digits, \"-\", \".\" or \"_\"");
    this->findings.add(place, message);
}

void ConfigurationChecker::checkAtMost(std::size_t value, std::size_t highest, const std::string& place)
{
    if (value > highest)
        this->findings.add(place, "is " + std::to_string(value) + "; the maximum is " + std::to_string(highest));
}

}
