#pragma once

#include "Base/NetworkAddress.h"
#include "Program/ExitCode.h"
#include "operators.pb.h"

#include <CLI/CLI.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace burlreach {

/** The `ctl` subcommand: one verb for each call of the operators' API. */
class ControlCommand {
public:
    /** Adds the verbs. CLI11 runs the chosen one while it parses the arguments. */
    void addTo(CLI::App& parent);
    ExitCode exitCode() const { return this->result; }

private:
    CLI::App* addVerb(CLI::App& control, const std::string& name, const std::string& help, std::function<void()> run);
    CLI::App* addChange(CLI::App& control, const std::string& name, const std::string& help,
        std::function<void(v1::ChangeRequest&)> fill);
    void addServiceVerbs(CLI::App& control);
    void addBackendServerVerbs(CLI::App& control);
    void addRuleVerbs(CLI::App& control);
    void addLimitsVerb(CLI::App& control);
    void addRolloutVerbs(CLI::App& control);
    void addCustomerVerbs(CLI::App& control);
    void addShowVerbs(CLI::App& control);
    void addServiceOption(CLI::App& verb);

    /** Parses --address. When it is invalid, sets the exit code and returns nothing. */
    std::optional<NetworkAddress> parsedAddress();
    void change(const v1::ChangeRequest& request);
    template <typename Answer>
    void show(std::string_view method, const google::protobuf::Message& request);
    void print(const google::protobuf::Message& message) const;
    void printFindings(const google::protobuf::RepeatedPtrField<v1::Finding>& findings) const;

    std::string address = "127.0.0.1:8081";
    std::string output = "text";
    std::string changeId;
    std::uint32_t expectedRevision = 0;
    std::string service;
    std::vector<std::string> hosts;
    v1::BackendServer server;
    std::string serverName;
    std::string dataCentre;
    bool undo = false;
    v1::RequestRule rule;
    std::string repeat;
    std::string priority;
    v1::Limits limits;
    v1::Customer customer;
    v1::Rollout rollout;
    std::string customerName;
    ExitCode result = ExitCode::Success;
};

}
