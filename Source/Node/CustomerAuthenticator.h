#pragma once

#include "Configuration/RoutingConfiguration.h"
#include "Customers/Credential.h"
#include "Customers/CustomerTable.h"
#include "Metrics/Reasons.h"

#include <cstdint>
#include <optional>
#include <string>

namespace burlreach {

/** The customer of a request according to the configuration at the last check. */
struct CallerIdentity {
    std::optional<RefusalReason> problem; // set when the request must be refused
    std::string customer; // empty: no customer
    bool withholdsKey = false; // do not forward the caller's key to backend servers; true if customers are configured
    std::optional<std::uint32_t> rank; // of the customer
    bool sharesByCustomer = false; // customers have fair shares where room is short; true if any has a limit
    std::uint64_t configurationNumber = 0; // this instance's number of the configuration used for the check
};

/** Identifies the customer of a request by its key, and decides whether the request must be refused. */
class CustomerAuthenticator {
public:
    /** If any customers are configured, a request needs a valid key unless its route is public. */
    static CallerIdentity identify(const CustomerTable& customers, const Route& route, const Credential& credential);
};

}
