#include "Node/CustomerAuthenticator.h"

namespace burlreach {

CallerIdentity CustomerAuthenticator::identify(
    const CustomerTable& customers, const Route& route, const Credential& credential)
{
    CallerIdentity identity;
    identity.withholdsKey = customers.hasCustomers();
    if (!customers.hasCustomers())
        return identity;
    identity.sharesByCustomer = customers.hasLimits();
    const bool hasKey = credential.kind == Credential::Kind::Key;
    if (const Customer* customer = hasKey ? customers.findByKey(credential.key) : nullptr) {
        identity.customer = customer->name;
        identity.rank = customer->rank;
    } else if (!route.isPublic)
        identity.problem = hasKey ? RefusalReason::KeyUnknown : RefusalReason::KeyMissing;
    return identity;
}

}
