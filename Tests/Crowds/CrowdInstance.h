#pragma once

#include "Base/NetworkAddress.h"
#include "Tests/Soak/ChildProcess.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace burlreach {

/** What a process holds at one moment. */
struct ProcessLoad {
    std::size_t memoryBytes = 0; // resident memory, and the bytes that have arrived on its connections and are not read
    std::size_t descriptors = 0;
};

/** The program as a process of its own, with the platform's dialect, on the loopback interface. */
class CrowdInstance {
public:
    struct Options {
        std::string program; // path
        std::string folder; // for settings and log
        NetworkAddress store;
        std::string name = "entry"; // also of its settings file and log
        std::vector<NetworkAddress> seeds; // peers' addresses of other instances
        std::string cutPorts; // path of a file with ports that CutOffBurlreach does not connect to; empty: none
        std::chrono::milliseconds stopBound{ 0 }; // 0: the program's default
        std::chrono::milliseconds stopLead{ 200 }; // from which on callers know of a stop
        unsigned retrySlack = 64; // of the fleet in 10 s
        std::size_t sessions = 0; // most callers' connections; 0: the program's default
        std::size_t descriptors = 0; // that the process may open; 0: as many as this process
    };

    explicit CrowdInstance(const Options& givenOptions);

    void start();
    bool isRunning() { return this->process->isRunning(); }
    ChildProcess& child() { return *this->process; }
    /** The value of a metric of the running process; 0 if there is none. */
    double metric(const std::string& metricName) const;
    /** Whether the instance says that it serves callers. */
    bool isReady() const;
    const NetworkAddress& callers() const { return this->callersAddress; }
    const NetworkAddress& operators() const { return this->operatorsAddress; }
    const NetworkAddress& peers() const { return this->peersAddress; }
    const NetworkAddress& readiness() const { return this->readinessAddress; }
    const NetworkAddress& relay() const { return this->relayAddress; }
    /** The most resident memory that the process has had. */
    std::size_t peakMemory() const { return this->process->peakMemory(); }
    /** What it holds now. Connections to this server's port are its own. */
    ProcessLoad load(const NetworkAddress& server) const;

private:
    void writeSettings() const;

    Options options;
    NetworkAddress callersAddress;
    NetworkAddress operatorsAddress;
    NetworkAddress peersAddress;
    NetworkAddress readinessAddress;
    NetworkAddress relayAddress;
    std::unique_ptr<ChildProcess> process;
};

}
