#include "Program/ControlCommand.h"

#include "Base/NetworkAddress.h"
#include "Customers/KeyDigest.h"
#include "Operators/MessageCodec.h"
#include "Program/ControlClient.h"

#include <iostream>
#include <random>

namespace burlreach {

namespace {

constexpr const char* RepeatChoices[] = { "may-repeat", "run-once" };
constexpr const char* PriorityChoices[] = { "first", "can-wait" };

std::string newChangeId()
{
    std::random_device device;
    return "ctl-" + std::to_string(device()) + "-" + std::to_string(device());
}

ExitCode exitCodeOf(const v1::ChangeAnswer& answer)
{
    switch (answer.result()) {
    case v1::CHANGE_ACCEPTED:
        return ExitCode::Success;
    case v1::CHANGE_CONFLICT:
        return ExitCode::Conflict;
    case v1::CHANGE_REFUSED:
        return ExitCode::Refused;
    default:
        return ExitCode::Unknown;
    }
}

/** Adds an option to a verb that sets a field of a protobuf message. */
template <typename Value, typename Message>
CLI::Option* addField(
    CLI::App& verb, const std::string& name, Message& message, void (Message::*set)(Value), const std::string& help)
{
    return verb.add_option_function<Value>(
        name, [&message, set](const Value& value) { (message.*set)(value); }, help);
}

CLI::Option* addTextField(CLI::App& verb, const std::string& name, const std::function<void(const std::string&)>& set,
    const std::string& help)
{
    return verb.add_option_function<std::string>(name, set, help);
}

}

void ControlCommand::addTo(CLI::App& parent)
{
    CLI::App* control = parent.add_subcommand("ctl", "Make an operator's call to an instance");
    control->add_option("--address", this->address, "Operators' address of an instance, IP:PORT")
        ->capture_default_str();
    control->add_option("--output", this->output, "text or json")
        ->check(CLI::IsMember({ "text", "json" }))
        ->capture_default_str();
    control->require_subcommand(1);
    this->addServiceVerbs(*control);
    this->addBackendServerVerbs(*control);
    this->addRuleVerbs(*control);
    this->addLimitsVerb(*control);
    this->addCustomerVerbs(*control);
    this->addRolloutVerbs(*control);
    this->addShowVerbs(*control);
}

CLI::App* ControlCommand::addVerb(
    CLI::App& control, const std::string& name, const std::string& help, std::function<void()> run)
{
    CLI::App* verb = control.add_subcommand(name, help);
    verb->callback(std::move(run));
    return verb;
}

CLI::App* ControlCommand::addChange(
    CLI::App& control, const std::string& name, const std::string& help, std::function<void(v1::ChangeRequest&)> fill)
{
    CLI::App* verb = this->addVerb(control, name, help, [this, fill = std::move(fill)] {
        v1::ChangeRequest request;
        request.set_change_id(this->changeId.empty() ? newChangeId() : this->changeId);
        request.set_expected_revision(this->expectedRevision);
        fill(request);
        this->change(request);
    });
    verb->add_option(
        "--change-id", this->changeId, "Id of the change; the same id takes effect once (default: a new one)");
    verb->add_option(
        "--expected-revision", this->expectedRevision, "Refuse when the configuration is at another revision");
    return verb;
}

void ControlCommand::addServiceOption(CLI::App& verb)
{
    verb.add_option("--service", this->service, "Name of the service")->required();
}

void ControlCommand::addServiceVerbs(CLI::App& control)
{
    CLI::App* create
        = this->addChange(control, "create-service", "Create a service", [this](v1::ChangeRequest& request) {
              v1::Service* created = request.mutable_create_service()->mutable_service();
              created->set_name(this->service);
              for (const std::string& host : this->hosts)
                  created->add_hosts(host);
          });
    this->addServiceOption(*create);
    create->add_option("--host", this->hosts, "Host value that leads to the service; may be given again")->required();

    CLI::App* change = this->addChange(
        control, "change-hosts", "Replace the Host values of a service", [this](v1::ChangeRequest& request) {
            request.mutable_change_hosts()->set_service(this->service);
            for (const std::string& host : this->hosts)
                request.mutable_change_hosts()->add_hosts(host);
        });
    this->addServiceOption(*change);
    change->add_option("--host", this->hosts, "Host value that leads to the service; may be given again")->required();

    CLI::App* remove = this->addChange(control, "remove-service", "Remove a service",
        [this](v1::ChangeRequest& request) { request.mutable_remove_service()->set_service(this->service); });
    this->addServiceOption(*remove);
}

void ControlCommand::addBackendServerVerbs(CLI::App& control)
{
    CLI::App* name = this->addChange(control, "name-backend-server",
        "Name a backend server of a service, or describe it anew", [this](v1::ChangeRequest& request) {
            request.mutable_name_backend_server()->set_service(this->service);
            *request.mutable_name_backend_server()->mutable_backend_server() = this->server;
        });
    this->addServiceOption(*name);
    addTextField(
        *name, "--name", [this](const std::string& value) { this->server.set_name(value); },
        "Name of the backend server")
        ->required();
    addTextField(
        *name, "--ip", [this](const std::string& value) { this->server.set_address(value); }, "IP number")
        ->required();
    addField<std::uint32_t>(*name, "--port", this->server, &v1::BackendServer::set_port, "Port")->required();
    addTextField(
        *name, "--data-centre", [this](const std::string& value) { this->server.set_data_centre(value); },
        "Data centre")
        ->required();
    addField<std::uint32_t>(
        *name, "--slots", this->server, &v1::BackendServer::set_slots, "Requests that it works on at once");
    addTextField(
        *name, "--version", [this](const std::string& value) { this->server.set_version(value); },
        "Version of its software");
    addField<std::uint64_t>(*name, "--life", this->server, &v1::BackendServer::set_life,
        "Another number: it began anew, and nothing known of it before holds");

    CLI::App* drain = this->addChange(
        control, "drain-backend-server", "Send a backend server no new requests", [this](v1::ChangeRequest& request) {
            request.mutable_drain_backend_server()->set_service(this->service);
            request.mutable_drain_backend_server()->set_backend_server(this->serverName);
            request.mutable_drain_backend_server()->set_draining(!this->undo);
        });
    this->addServiceOption(*drain);
    drain->add_option("--name", this->serverName, "Name of the backend server")->required();
    drain->add_flag("--undo", this->undo, "Take the drain back");

    CLI::App* empty = this->addChange(control, "empty-data-centre",
        "Send the backend servers of a data centre no new requests", [this](v1::ChangeRequest& request) {
            request.mutable_empty_data_centre()->set_data_centre(this->dataCentre);
            request.mutable_empty_data_centre()->set_emptied(!this->undo);
        });
    empty->add_option("--data-centre", this->dataCentre, "Data centre of the backend servers")->required();
    empty->add_flag("--undo", this->undo, "Take the data centre back into use");

    CLI::App* remove = this->addChange(
        control, "remove-backend-server", "Remove a backend server from a service", [this](v1::ChangeRequest& request) {
            request.mutable_remove_backend_server()->set_service(this->service);
            request.mutable_remove_backend_server()->set_backend_server(this->serverName);
        });
    this->addServiceOption(*remove);
    remove->add_option("--name", this->serverName, "Name of the backend server")->required();
}

void ControlCommand::addRuleVerbs(CLI::App& control)
{
    CLI::App* set = this->addChange(
        control, "set-rule", "Say which requests may repeat and which run once", [this](v1::ChangeRequest& request) {
            this->rule.set_repeat(this->repeat == RepeatChoices[0] ? v1::MAY_REPEAT : v1::RUN_ONCE);
            if (!this->priority.empty())
                this->rule.set_priority(this->priority == PriorityChoices[0] ? v1::FIRST : v1::CAN_WAIT);
            request.mutable_set_request_rule()->set_service(this->service);
            *request.mutable_set_request_rule()->mutable_rule() = this->rule;
        });
    this->addServiceOption(*set);
    addTextField(
        *set, "--method", [this](const std::string& value) { this->rule.set_method(value); },
        "Method in capitals; none: every method");
    addTextField(
        *set, "--path-prefix", [this](const std::string& value) { this->rule.set_path_prefix(value); },
        "Prefix of the path")
        ->required();
    set->add_flag_callback(
        "--without-key", [this] { this->rule.set_without_key(true); }, "Requests need no key of a customer");
    set->add_option("--repeat", this->repeat, "may-repeat or run-once")
        ->required()
        ->check(CLI::IsMember({ RepeatChoices[0], RepeatChoices[1] }));
    set->add_option("--priority", this->priority, "first or can-wait")
        ->check(CLI::IsMember({ PriorityChoices[0], PriorityChoices[1] }));
    addField<std::uint32_t>(*set, "--deadline-milliseconds", this->rule, &v1::RequestRule::set_deadline_milliseconds,
        "Time for the whole request");
    addField<std::uint32_t>(*set, "--target-milliseconds", this->rule, &v1::RequestRule::set_target_milliseconds,
        "A later answer is late; requests are not kept waiting for long against it");

    CLI::App* remove = this->addChange(control, "remove-rule", "Remove a rule", [this](v1::ChangeRequest& request) {
        request.mutable_remove_request_rule()->set_service(this->service);
        request.mutable_remove_request_rule()->set_method(this->rule.method());
        request.mutable_remove_request_rule()->set_path_prefix(this->rule.path_prefix());
    });
    this->addServiceOption(*remove);
    addTextField(
        *remove, "--method", [this](const std::string& value) { this->rule.set_method(value); }, "Method of the rule");
    addTextField(
        *remove, "--path-prefix", [this](const std::string& value) { this->rule.set_path_prefix(value); },
        "Path prefix of the rule")
        ->required();
}

void ControlCommand::addLimitsVerb(CLI::App& control)
{
    CLI::App* set = this->addChange(control, "set-limits",
        "Set the limits of a service; those not given go back to their defaults", [this](v1::ChangeRequest& request) {
            request.mutable_set_limits()->set_service(this->service);
            *request.mutable_set_limits()->mutable_limits() = this->limits;
        });
    this->addServiceOption(*set);
    addField<std::uint32_t>(*set, "--connections-per-backend-server", this->limits,
        &v1::Limits::set_connections_per_backend_server, "Summed over all instances");
    addField<std::uint32_t>(*set, "--deadline-milliseconds", this->limits, &v1::Limits::set_deadline_milliseconds,
        "For requests that name none");
    addField<std::uint32_t>(
        *set, "--queue-length", this->limits, &v1::Limits::set_queue_length, "Requests waiting at one instance");
    addField<std::uint32_t>(
        *set, "--retry-percent", this->limits, &v1::Limits::set_retry_percent, "Retries per hundred first attempts");
    addField<std::uint32_t>(*set, "--probe-budget-milliseconds", this->limits,
        &v1::Limits::set_probe_budget_milliseconds,
        "Slot time a second for probes, per backend server, all instances together");
    addField<std::uint32_t>(
        *set, "--maximum-body-bytes", this->limits, &v1::Limits::set_maximum_body_bytes, "Largest body of a request");
    addField<std::uint32_t>(*set, "--cold-requests-per-second", this->limits, &v1::Limits::set_cold_requests_per_second,
        "That a cold backend server bears, from all instances together; none: no bound");
    addField<std::uint32_t>(*set, "--cold-start-milliseconds", this->limits, &v1::Limits::set_cold_start_milliseconds,
        "How long a backend server is cold after a pause");
}

void ControlCommand::addCustomerVerbs(CLI::App& control)
{
    CLI::App* set = this->addChange(
        control, "set-customer", "Say which keys a customer holds and what it may send", [this](auto& request) {
            if (!this->priority.empty())
                this->customer.set_priority(this->priority == PriorityChoices[0] ? v1::FIRST : v1::CAN_WAIT);
            *request.mutable_set_customer()->mutable_customer() = this->customer;
        });
    addTextField(
        *set, "--name", [this](const std::string& value) { this->customer.set_name(value); }, "Name of the customer")
        ->required();
    // Only the digest of the key is sent; the key itself does not leave this process.
    set->add_option_function<std::vector<std::string>>(
        "--key",
        [this](const std::vector<std::string>& keys) {
            for (const std::string& key : keys)
                this->customer.add_key_digests(digestOfKey(key).text());
        },
        "A key that it holds; may be given again. Others on this machine may read it here: prefer --key-digest");
    set->add_option_function<std::vector<std::string>>(
        "--key-digest",
        [this](const std::vector<std::string>& digests) {
            for (const std::string& digest : digests)
                this->customer.add_key_digests(digest);
        },
        "The SHA-256 digest of a key, in lower-case hexadecimal digits; may be given again");
    addField<std::uint32_t>(*set, "--requests-per-second", this->customer, &v1::Customer::set_requests_per_second,
        "From all instances together; none: no limit");
    addField<std::uint32_t>(
        *set, "--burst", this->customer, &v1::Customer::set_burst, "Requests beyond that after a pause");
    set->add_option("--priority", this->priority, "first or can-wait; goes before the priority of the rule")
        ->check(CLI::IsMember({ PriorityChoices[0], PriorityChoices[1] }));

    CLI::App* remove = this->addChange(control, "remove-customer", "Take all keys of a customer away",
        [this](auto& request) { request.mutable_remove_customer()->set_customer(this->customerName); });
    remove->add_option("--name", this->customerName, "Name of the customer")->required();
}

void ControlCommand::addRolloutVerbs(CLI::App& control)
{
    CLI::App* begin = this->addChange(control, "begin-rollout",
        "Move the requests of a service to its backend servers of another version", [this](auto& request) {
            this->rollout.set_service(this->service);
            *request.mutable_begin_rollout()->mutable_rollout() = this->rollout;
        });
    this->addServiceOption(*begin);
    addTextField(
        *begin, "--new-version", [this](const std::string& value) { this->rollout.set_new_version(value); },
        "Version as its backend servers name it")
        ->required();
    addField<std::uint32_t>(*begin, "--duration-milliseconds", this->rollout, &v1::Rollout::set_duration_milliseconds,
        "By then it should be done")
        ->required();

    CLI::App* end = this->addChange(control, "end-rollout", "Take the order for a new version back",
        [this](auto& request) { request.mutable_end_rollout()->set_service(this->service); });
    this->addServiceOption(*end);
}

void ControlCommand::addShowVerbs(CLI::App& control)
{
    CLI::App* showRollout
        = this->addVerb(control, "show-rollout", "Show how far a new version of a service is brought in", [this] {
              v1::ShowRolloutRequest request;
              request.set_service(this->service);
              this->show<v1::ShowRolloutAnswer>("ShowRollout", request);
          });
    this->addServiceOption(*showRollout);
    CLI::App* showCustomer
        = this->addVerb(control, "show-customer", "Show the limit of a customer, and what was granted of it", [this] {
              v1::ShowCustomerRequest request;
              request.set_customer(this->customerName);
              this->show<v1::ShowCustomerAnswer>("ShowCustomer", request);
          });
    showCustomer->add_option("--name", this->customerName, "Name of the customer")->required();
    this->addVerb(control, "show-quotas", "Show which instances grant the quotas, and what was granted and refused",
        [this] { this->show<v1::ShowQuotasAnswer>("ShowQuotas", v1::ShowQuotasRequest()); });
    this->addVerb(control, "list-services", "List the services",
        [this] { this->show<v1::ListServicesAnswer>("ListServices", v1::ListServicesRequest()); });
    this->addVerb(control, "show-in-force", "Show which revision is in force on which instance",
        [this] { this->show<v1::ShowInForceAnswer>("ShowInForce", v1::ShowInForceRequest()); });
    this->addVerb(control, "show-counters", "Show the counters of the instance",
        [this] { this->show<v1::ShowCountersAnswer>("ShowCounters", v1::ShowCountersRequest()); });
    this->addVerb(control, "show-crashing-requests", "Show requests under which backend servers ended", [this] {
        this->show<v1::ShowCrashingRequestsAnswer>("ShowCrashingRequests", v1::ShowCrashingRequestsRequest());
    });
    CLI::App* showService = this->addVerb(control, "show-service", "Show a service", [this] {
        v1::ShowServiceRequest request;
        request.set_service(this->service);
        this->show<v1::ShowServiceAnswer>("ShowService", request);
    });
    this->addServiceOption(*showService);
    CLI::App* showLoad = this->addVerb(
        control, "show-load", "Show the load of a service's backend servers as the instance knows it", [this] {
            v1::ShowLoadRequest request;
            request.set_service(this->service);
            this->show<v1::ShowLoadAnswer>("ShowLoad", request);
        });
    this->addServiceOption(*showLoad);
}

std::optional<NetworkAddress> ControlCommand::parsedAddress()
{
    auto parsed = parseNetworkAddress(this->address);
    if (parsed)
        return parsed;
    std::cerr << "--address: is not a valid address; write an IP number and a port, such as 127.0.0.1:8081\n";
    this->result = ExitCode::Usage;
    return std::nullopt;
}

void ControlCommand::change(const v1::ChangeRequest& request)
{
    const auto parsed = this->parsedAddress();
    if (!parsed)
        return;
    ControlClient client(*parsed);
    v1::ChangeAnswer answer;
    if (const auto problem = client.call("Change", request, answer)) {
        std::cerr << "change " << request.change_id() << ": " << *problem << ". Repeat the call with --change-id "
                  << request.change_id() << '\n';
        this->result = ExitCode::Unreachable;
        return;
    }
    this->result = exitCodeOf(answer);
    if (this->output == "json")
        return this->print(answer);
    std::cout << "change " << request.change_id() << ": " << v1::ChangeResult_Name(answer.result()) << ", revision "
              << answer.revision() << '\n';
    this->printFindings(answer.findings());
}

template <typename Answer>
void ControlCommand::show(std::string_view method, const google::protobuf::Message& request)
{
    const auto parsed = this->parsedAddress();
    if (!parsed)
        return;
    ControlClient client(*parsed);
    Answer answer;
    if (const auto problem = client.call(method, request, answer)) {
        std::cerr << method << ": " << *problem << '\n';
        this->result = ExitCode::Unreachable;
        return;
    }
    if constexpr (requires { answer.findings(); }) {
        if (!answer.findings().empty())
            this->result = ExitCode::Refused;
    }
    this->print(answer);
}

void ControlCommand::print(const google::protobuf::Message& message) const
{
    if (this->output == "json")
        std::cout << encodeMessage(message, false);
    else
        std::cout << message.DebugString();
}

void ControlCommand::printFindings(const google::protobuf::RepeatedPtrField<v1::Finding>& findings) const
{
    for (const v1::Finding& finding : findings)
        std::cout << finding.place() << ": " << finding.message() << '\n';
}

}
