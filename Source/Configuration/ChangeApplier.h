#pragma once

#include "Base/Findings.h"
#include "operators.pb.h"

namespace burlreach {

/** A configuration after a change, or the findings why the change is refused. */
struct ChangedConfiguration {
    v1::Configuration configuration;
    Findings findings; // the configuration is usable only when this is empty
};

/** Applies one change of an operator to a copy of a configuration and validates the result as a whole. */
class ChangeApplier {
public:
    /** The resulting configuration has the next revision and contains the id of the change. */
    ChangedConfiguration apply(
        const v1::ChangeRequest& request, const v1::Configuration& base, std::string_view acceptedBy);

private:
    void applyKind(const v1::ChangeRequest& request);
    void createService(const v1::CreateService& change);
    void changeHosts(const v1::ChangeHosts& change);
    void remove(const v1::RemoveService& change);
    void nameBackendServer(const v1::NameBackendServer& change);
    void drainBackendServer(const v1::DrainBackendServer& change);
    void remove(const v1::RemoveBackendServer& change);
    void setRequestRule(const v1::SetRequestRule& change);
    void removeRequestRule(const v1::RemoveRequestRule& change);
    void setLimits(const v1::SetLimits& change);
    void emptyDataCentre(const v1::EmptyDataCentre& change);
    void setCustomer(const v1::SetCustomer& change);
    void removeCustomer(const v1::RemoveCustomer& change);
    void beginRollout(const v1::BeginRollout& change);
    void endRollout(const v1::EndRollout& change);
    v1::Service* findService(const std::string& name);
    v1::BackendServer* findBackendServer(v1::Service& service, const std::string& name);

    ChangedConfiguration result;
};

/** The recent change with this id; null if there is none. */
const v1::AppliedChange* findAppliedChange(const v1::Configuration& configuration, std::string_view changeId);

}
