#pragma once

#include "Sockets.h"

#include <chrono>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

/** Starts target/burlreach as the deploy file says, with the settings that the template gives on a small deployment. */
class Instance {
public:
    Instance(const std::string& givenName, const std::string& host, const std::string& givenZone);
    ~Instance();
    Instance(const Instance&) = delete;
    Instance& operator=(const Instance&) = delete;
    Instance(Instance&&) = delete;
    Instance& operator=(Instance&&) = delete;

    const Address& callers() const { return this->callersAddress; }
    const Address& peers() const { return this->peersAddress; }
    const std::string& name() const { return this->instanceName; }
    /** Writes the settings file into the folder and starts the process. */
    void start(const std::string& folder, const Address& store, const std::vector<Address>& seeds);
    /** Waits until the instance says that it is ready; false if it does not within this time. */
    bool waitUntilReady(std::chrono::milliseconds longest) const;
    void signal(int number) const;
    /** Kills the process and waits for its end. */
    void kill();
    /** The process's memory, in MB; 0 if it has ended. */
    double memory() const;
    /** True if the process has opened the connection that comes from this loopback address and port. */
    bool hasOpened(const Address& from) const;

private:
    std::string settings(const Address& store, const std::vector<Address>& seeds) const;

    std::string instanceName;
    std::string zone;
    Address callersAddress;
    Address operatorsAddress;
    Address peersAddress;
    Address relayAddress;
    Address readinessAddress;
    pid_t process = 0;
};

}
