#include "Configuration/ChangeApplier.h"

#include "Configuration/ConfigurationChecker.h"

#include <algorithm>

namespace burlreach {

namespace {

/** More than a day of changes at the fleet size that docs/CAPACITY.md plans for. */
constexpr int MaximumRecentChanges = 400;
constexpr std::size_t MaximumChangeIdLength = 100;

template <typename List>
auto findNamed(List& list, const std::string& name)
{
    return std::find_if(list.begin(), list.end(), [&](const auto& item) { return item.name() == name; });
}

auto findRollout(google::protobuf::RepeatedPtrField<v1::Rollout>& rollouts, const std::string& service)
{
    return std::find_if(
        rollouts.begin(), rollouts.end(), [&](const v1::Rollout& rollout) { return rollout.service() == service; });
}

auto findRule(v1::Service& service, const std::string& method, const std::string& prefix)
{
    return std::find_if(service.mutable_rules()->begin(), service.mutable_rules()->end(),
        [&](const v1::RequestRule& rule) { return rule.method() == method && rule.path_prefix() == prefix; });
}

}

const v1::AppliedChange* findAppliedChange(const v1::Configuration& configuration, std::string_view changeId)
{
    const auto& changes = configuration.recent_changes();
    const auto found = std::find_if(changes.begin(), changes.end(),
        [&](const v1::AppliedChange& change) { return change.change_id() == changeId; });
    return found == changes.end() ? nullptr : &*found;
}

ChangedConfiguration ChangeApplier::apply(
    const v1::ChangeRequest& request, const v1::Configuration& base, std::string_view acceptedBy)
{
    this->result = { .configuration = base, .findings = {} };
    if (request.change_id().empty() || request.change_id().size() > MaximumChangeIdLength)
        this->result.findings.add("/change_id",
            "is empty or longer than 100 characters; give each change a unique id and keep it when you send it again");
    this->applyKind(request);
    v1::Configuration& changed = this->result.configuration;
    changed.set_revision(base.revision() + 1);
    v1::AppliedChange* applied = changed.add_recent_changes();
    applied->set_change_id(request.change_id());
    applied->set_revision(changed.revision());
    applied->set_accepted_by(std::string(acceptedBy));
    if (changed.recent_changes_size() > MaximumRecentChanges)
        changed.mutable_recent_changes()->DeleteSubrange(0, changed.recent_changes_size() - MaximumRecentChanges);
    if (!this->result.findings.empty())
        return this->result;
    ConfigurationChecker checker;
    this->result.findings = checker.check(changed);
    return this->result;
}

void ChangeApplier::applyKind(const v1::ChangeRequest& request)
{
    switch (request.change_case()) {
    case v1::ChangeRequest::kCreateService:
        return this->createService(request.create_service());
    case v1::ChangeRequest::kChangeHosts:
        return this->changeHosts(request.change_hosts());
    case v1::ChangeRequest::kRemoveService:
        return this->remove(request.remove_service());
    case v1::ChangeRequest::kNameBackendServer:
        return this->nameBackendServer(request.name_backend_server());
    case v1::ChangeRequest::kDrainBackendServer:
        return this->drainBackendServer(request.drain_backend_server());
    case v1::ChangeRequest::kRemoveBackendServer:
        return this->remove(request.remove_backend_server());
    case v1::ChangeRequest::kSetRequestRule:
        return this->setRequestRule(request.set_request_rule());
    case v1::ChangeRequest::kRemoveRequestRule:
        return this->removeRequestRule(request.remove_request_rule());
    case v1::ChangeRequest::kSetLimits:
        return this->setLimits(request.set_limits());
    case v1::ChangeRequest::kEmptyDataCentre:
        return this->emptyDataCentre(request.empty_data_centre());
    case v1::ChangeRequest::kSetCustomer:
        return this->setCustomer(request.set_customer());
    case v1::ChangeRequest::kRemoveCustomer:
        return this->removeCustomer(request.remove_customer());
    case v1::ChangeRequest::kBeginRollout:
        return this->beginRollout(request.begin_rollout());
    case v1::ChangeRequest::kEndRollout:
        return this->endRollout(request.end_rollout());
    case v1::ChangeRequest::CHANGE_NOT_SET:
        break;
    }
    this->result.findings.add("/change", "is not set; set one change, such as create_service");
}

v1::Service* ChangeApplier::findService(const std::string& name)
{
    auto& services = *this->result.configuration.mutable_services();
    const auto found = findNamed(services, name);
    if (found != services.end())
        return &*found;
    this->result.findings.add(
        "/service", "there is no service \"" + name + "\"; look it up in the list of services or create it first");
    return nullptr;
}

v1::BackendServer* ChangeApplier::findBackendServer(v1::Service& service, const std::string& name)
{
    auto& servers = *service.mutable_backend_servers();
    const auto found = findNamed(servers, name);
    if (found != servers.end())
        return &*found;
    this->result.findings.add("/backend_server",
        "there is no backend server \"" + name + "\" in \"" + service.name()
            + "\"; look it up in the service or add it first");
    return nullptr;
}

void ChangeApplier::createService(const v1::CreateService& change)
{
    *this->result.configuration.add_services() = change.service();
}

void ChangeApplier::changeHosts(const v1::ChangeHosts& change)
{
    if (v1::Service* service = this->findService(change.service()))
        *service->mutable_hosts() = change.hosts();
}

void ChangeApplier::remove(const v1::RemoveService& change)
{
    if (!this->findService(change.service()))
        return;
    auto& services = *this->result.configuration.mutable_services();
    services.erase(findNamed(services, change.service()));
}

void ChangeApplier::nameBackendServer(const v1::NameBackendServer& change)
{
    v1::Service* service = this->findService(change.service());
    if (!service)
        return;
    auto& servers = *service->mutable_backend_servers();
    const auto found = findNamed(servers, change.backend_server().name());
    if (found == servers.end())
        *service->add_backend_servers() = change.backend_server();
    else
        *found = change.backend_server();
}

void ChangeApplier::drainBackendServer(const v1::DrainBackendServer& change)
{
    v1::Service* service = this->findService(change.service());
    if (!service)
        return;
    if (v1::BackendServer* server = this->findBackendServer(*service, change.backend_server()))
        server->set_draining(change.draining());
}

void ChangeApplier::remove(const v1::RemoveBackendServer& change)
{
    v1::Service* service = this->findService(change.service());
    if (!service || !this->findBackendServer(*service, change.backend_server()))
        return;
    auto& servers = *service->mutable_backend_servers();
    servers.erase(findNamed(servers, change.backend_server()));
}

void ChangeApplier::setRequestRule(const v1::SetRequestRule& change)
{
    v1::Service* service = this->findService(change.service());
    if (!service)
        return;
    const auto found = findRule(*service, change.rule().method(), change.rule().path_prefix());
    if (found == service->mutable_rules()->end())
        *service->add_rules() = change.rule();
    else
        *found = change.rule();
}

void ChangeApplier::removeRequestRule(const v1::RemoveRequestRule& change)
{
    v1::Service* service = this->findService(change.service());
    if (!service)
        return;
    const auto found = findRule(*service, change.method(), change.path_prefix());
    if (found == service->mutable_rules()->end())
        this->result.findings.add("/path_prefix",
            "there is no rule for \"" + change.method() + "\" and \"" + change.path_prefix()
                + "\"; look the rules up in the service");
    else
        service->mutable_rules()->erase(found);
}

void ChangeApplier::setLimits(const v1::SetLimits& change)
{
    if (v1::Service* service = this->findService(change.service()))
        *service->mutable_limits() = change.limits();
}

void ChangeApplier::emptyDataCentre(const v1::EmptyDataCentre& change)
{
    const std::string& name = change.data_centre();
    const auto isThere = [&](const v1::BackendServer& server) { return server.data_centre() == name; };
    const auto& services = this->result.configuration.services();
    const bool isKnown = std::any_of(services.begin(), services.end(), [&](const v1::Service& service) {
        return std::any_of(service.backend_servers().begin(), service.backend_servers().end(), isThere);
    });
    auto& emptied = *this->result.configuration.mutable_emptied_data_centres();
    const auto found = std::find(emptied.begin(), emptied.end(), name);
    if (change.emptied() && !isKnown)
        this->result.findings.add("/data_centre",
            "no backend server is in \"" + name + "\"; write the data centre as in the records of the backend servers");
    else if (change.emptied() && found == emptied.end())
        *emptied.Add() = name;
    else if (!change.emptied() && found != emptied.end())
        emptied.erase(found);
}

void ChangeApplier::setCustomer(const v1::SetCustomer& change)
{
    auto& customers = *this->result.configuration.mutable_customers();
    const auto found = findNamed(customers, change.customer().name());
    if (found == customers.end())
        *customers.Add() = change.customer();
    else
        *found = change.customer();
}

void ChangeApplier::removeCustomer(const v1::RemoveCustomer& change)
{
    auto& customers = *this->result.configuration.mutable_customers();
    const auto found = findNamed(customers, change.customer());
    if (found == customers.end())
        this->result.findings.add("/customer", "there is no customer \"" + change.customer() + "\"; check the name");
    else
        customers.erase(found);
}

void ChangeApplier::beginRollout(const v1::BeginRollout& change)
{
    if (!this->findService(change.rollout().service()))
        return;
    if (change.rollout().new_version().empty())
        this->result.findings.add(
            "/rollout/new_version", "is empty; write the version as in the records of its backend servers");
    if (!change.rollout().duration_milliseconds())
        this->result.findings.add(
            "/rollout/duration_milliseconds", "is 0; write in how many milliseconds the roll-out should complete");
    auto& rollouts = *this->result.configuration.mutable_rollouts();
    const auto found = findRollout(rollouts, change.rollout().service());
    v1::Rollout& rollout = found == rollouts.end() ? *rollouts.Add() : *found;
    rollout = change.rollout();
    // The revision of this change distinguishes it from an earlier order for the same version.
    rollout.set_begun_at_revision(this->result.configuration.revision() + 1);
}

void ChangeApplier::endRollout(const v1::EndRollout& change)
{
    auto& rollouts = *this->result.configuration.mutable_rollouts();
    const auto found = findRollout(rollouts, change.service());
    if (found == rollouts.end())
        this->result.findings.add(
            "/service", "there is no roll-out of \"" + change.service() + "\"; look it up in the service");
    else
        rollouts.erase(found);
}

}
