#pragma once

#include "Base/Findings.h"
#include "operators.pb.h"

namespace burlreach {

/** A configuration after a change, or why the change cannot be made. */
struct ChangedConfiguration {
    v1::Configuration configuration;
    Findings findings; // the configuration is usable only when this is empty
};

/** Makes one operator's change on a copy of a configuration and checks it whole. */
class ChangeApplier {
public:
    /** The result has the next revision and remembers the change's id. */
    ChangedConfiguration apply(
        const v1::ChangeRequest& request, const v1::Configuration& base, std::string_view acceptedBy);

private:
    void applyKind(const v1::ChangeRequest& request);
    void create(const v1::CreateService& change);
    void changeHosts(const v1::ChangeHosts& change);
    void remove(const v1::RemoveService& change);
    void name(const v1::NameBackendServer& change);
    void drain(const v1::DrainBackendServer& change);
    void remove(const v1::RemoveBackendServer& change);
    void setRule(const v1::SetRequestRule& change);
    void removeRule(const v1::RemoveRequestRule& change);
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

/** The remembered change with this id, or null. */
const v1::AppliedChange* findAppliedChange(const v1::Configuration& configuration, std::string_view changeId);

}
