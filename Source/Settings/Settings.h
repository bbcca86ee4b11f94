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

/** The settings of an instance, read at start and again when the file changes. This is the only place with defaults. */
struct Settings {
    std::string instanceName;
    std::string dataCentre;
    double processorShare = 0; // in processors; instances with the largest share watch the store; 0: not known
    std::string dialect = "own"; // protocols to the store, callers and backend servers; see Dialect

    NetworkAddress callersAddress;
    NetworkAddress operatorsAddress;
    NetworkAddress peersAddress;
    NetworkAddress relayAddress; // port 0: this instance relays no connections for others
    NetworkAddress readinessAddress; // port 0: readiness is served at the operators' address only
    std::string readinessPath = "/ready";

    NetworkAddress storeAddress;
    std::vector<NetworkAddress> seeds; // peer addresses of other instances

    /** Of the machine, for the whole process; the default is that of the smallest machines in use. */
    std::size_t memoryMegabytes = 160;
    std::size_t descriptors = 0; // that the process may open; 0: the limit that it was started with

    std::size_t maximumSessions = 4000;
    std::size_t maximumHeaderBytes = 8192;
    std::size_t maximumBodyBytes = 1048576;
    Milliseconds idleSession{ 300000 };

    Milliseconds stopBound{ 30000 };
    Milliseconds stopReadinessLead{ 2500 };

    double retryShare = 0.1;
    std::size_t retrySlack = 0;
    Milliseconds retryWindow{ 10000 };
    Milliseconds quotaWindow{ 5000 }; // interval over which customers' limits are counted
    double quotaOverage = 0.1; // share of a customer's limit by which it may be exceeded
    std::size_t quotaSlack = 20; // requests of a customer allowed beyond limit and overage
    std::size_t probesPerSecond = 30; // per backend server, summed over all instances

    LogFormat logFormat = LogFormat::Text;
    LogLevel logLevel = LogLevel::Info;
};

}
