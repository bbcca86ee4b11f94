#pragma once

#include "Configuration/RoutingConfiguration.h"
#include "Customers/Credential.h"
#include "Customers/CustomerTable.h"
#include "Metrics/Reasons.h"

#include <cstdint>
#include <optional>
#include <string>

namespace burlreach {

/** Whose a request is, by the configuration that was looked at last. */
struct CallerIdentity {
    std::optional<RefusalReason> problem; // why it must not be sent
    std::string customer; // empty: nobody's
    bool isKeyKept = false; // there are customers, so no key goes on to backend servers
    std::optional<std::uint32_t> rank; // of its customer
    std::uint64_t judgedBy = 0; // the number of that configuration on this instance
};

/** Decides by its key whether a request may be sent, and whose it is. */
class CustomerGate {
public:
    /** Where there are customers, a request needs the key of one unless its route is public. */
    static CallerIdentity judge(const CustomerTable& customers, const Route& route, const Credential& credential);
};

}
