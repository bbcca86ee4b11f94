#pragma once

#include "Base/Milliseconds.h"
#include "Customers/Customer.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace burlreach {

/** Whether a request may be sent to backend servers more than once. */
enum class Repeat {
    MayRepeat,
    RunOnce
};

/** One part of a route's requests. */
struct WeightedService {
    std::string service;
    std::uint32_t weight = 1;
};

/** How the requests of a host and path prefix are treated. */
struct Route {
    std::string name;
    std::string host;
    std::string method; // empty: every method
    std::string pathPrefix;
    Repeat repeat = Repeat::RunOnce;
    Milliseconds timeout{ 10000 }; // by then the caller has its final answer
    Milliseconds targetLatency{ 1000 }; // an answer after this is late
    unsigned mostAttempts = 3; // backend servers that may run one request
    std::uint32_t rank = 0; // 0 goes first
    bool isPublic = false; // requests need no key
    std::vector<WeightedService> services; // never empty
};

/** What operators set for a service. */
struct ServiceDescription {
    std::string name;
    std::string probePath; // empty: the service cannot be probed
    std::size_t connectionsPerBackendServer = 200; // summed over all instances
    std::size_t queueLength = 200; // requests waiting at one instance
    double retryShare = 1; // of the fleet's share of retries; less for a service that wants fewer
    double probeShare = 1; // of the probes that the settings allow
    double coldRequestsPerSecond = 0; // that a cold backend server bears, from all instances together; 0: no bound
    Milliseconds coldStart; // for so long it is cold after a pause
};

/** What callers may send, and how long they may take. */
struct CallerLimits {
    std::size_t headerBytes = 8192;
    std::size_t bodyBytes = 1048576;
    Milliseconds headerTimeout{ 10000 };
    Milliseconds idleTimeout{ 300000 };

    bool operator==(const CallerLimits&) const = default;
};

/** The operators' configuration as the decisions use it. */
struct RoutingConfiguration {
    std::uint64_t version = 0; // as operators count it
    std::vector<Route> routes;
    std::vector<ServiceDescription> services;
    std::vector<Customer> customers; // where there are any, requests need a key
    CallerLimits callerLimits;
};

}
