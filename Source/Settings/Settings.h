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

/** What an instance reads once, at its start. Each default stands here only. */
struct Settings {
    std::string instanceName;
    std::string dataCentre;

    NetworkAddress callersAddress;
    NetworkAddress operatorsAddress;
    NetworkAddress peersAddress;

    NetworkAddress platformAddress;
    std::string platformKeyPrefix = "burlreach/";
    std::string platformServiceName = "burlreach";

    std::size_t maximumSessions = 4000;
    std::size_t maximumHeaderBytes = 8192;
    std::size_t maximumBodyBytes = 1048576;
    Milliseconds idleSession{ 300000 };

    Milliseconds stopBound{ 30000 };
    Milliseconds stopReadinessLead{ 2000 };

    Milliseconds heartbeatInterval{ 500 };
    Milliseconds requestIdsKept{ 300000 };

    LogFormat logFormat = LogFormat::Text;
    LogLevel logLevel = LogLevel::Info;
};

}
