#pragma once

#include "Base/Milliseconds.h"
#include "Base/NetworkAddress.h"

#include <cstddef>
#include <string>
#include <vector>

namespace burlreach {

enum class LogFormat {
    Text,
    Json
};

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error
};

/** What an instance reads at its start and again when the file changes. Each default stands here only. */
struct Settings {
    std::string instanceName;
    std::string dataCentre;
    double processorShare = 0; // of one processor; the strongest instances watch the store; 0: not told
    std::string dialect = "own"; // the form in which the world around is spoken to

    NetworkAddress callersAddress;
    NetworkAddress operatorsAddress;
    NetworkAddress peersAddress;
    NetworkAddress readinessAddress; // port 0: only at the operators' address
    std::string readinessPath = "/ready";

    NetworkAddress storeAddress;
    std::vector<NetworkAddress> seeds; // other instances, at their addresses for peers

    std::size_t maximumSessions = 4000;
    std::size_t maximumHeaderBytes = 8192;
    std::size_t maximumBodyBytes = 1048576;
    Milliseconds idleSession{ 300000 };

    Milliseconds stopBound{ 30000 };
    Milliseconds stopReadinessLead{ 2500 };

    double retryShare = 0.1;
    std::size_t retrySlack = 0;
    Milliseconds retryWindow{ 10000 };
    Milliseconds quotaWindow{ 5000 }; // spans of this length count for customers' limits
    double quotaOverage = 0.1; // share of a customer's limit that may pass beyond it
    std::size_t quotaSlack = 20; // requests of a customer that may pass beyond that
    std::size_t probesPerSecond = 30; // of one backend server, all instances together

    LogFormat logFormat = LogFormat::Text;
    LogLevel logLevel = LogLevel::Info;
};

}
