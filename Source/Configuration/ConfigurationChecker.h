#pragma once

#include "Base/Findings.h"
#include "configuration.pb.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace burlreach {

/** The largest document to be stored; the platform's limit for a value is 1 MB. */
inline constexpr std::size_t MaximumConfigurationBytes = 900000;

/** Validates a complete configuration before it is stored. */
class ConfigurationChecker {
public:
    Findings check(const v1::Configuration& configuration);

private:
    void checkCustomers(const v1::Configuration& configuration);
    void checkCustomer(const v1::Customer& customer, const std::string& place);
    void checkEmptiedDataCentres(const v1::Configuration& configuration);
    void checkService(const v1::Service& service, const std::string& place);
    void checkHosts(const v1::Service& service, const std::string& place);
    void checkBackendServers(const v1::Service& service, const std::string& place);
    void checkBackendServer(const v1::BackendServer& server, const std::string& place);
    void checkRules(const v1::Service& service, const std::string& place);
    void checkRule(const v1::RequestRule& rule, const std::string& place);
    void checkLimits(const v1::Limits& limits, const std::string& place);
    void checkName(std::string_view name, const std::string& place);
    void checkAtMost(std::size_t value, std::size_t highest, const std::string& place);

    Findings findings;
};

}
