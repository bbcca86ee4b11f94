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

/** A weighted target of a route. */
struct WeightedService {
    std::string service;
    std::uint32_t weight = 1; // of the requests, relative to the other targets of the route
};

/** How the requests with a host, method and path prefix are handled. */
struct Route {
    std::string name;
    std::string host;
    std::string method; // empty: every method
    std::string pathPrefix;
    Repeat repeat = Repeat::RunOnce;
    Milliseconds timeout{ 10000 }; // within which the caller gets its final answer
    Milliseconds targetLatency{ 1000 }; // an answer after this is late
    unsigned mostAttempts = 3; // how many backend servers may run one request
    std::uint32_t rank = 0; // priority rank; 0 is served first
    bool isPublic = false; // requests need no key
    std::vector<WeightedService> services; // never empty
};

/** The settings of a service, as set by operators. */
struct ServiceDescription {
    std::string name;
    std::string probePath; // empty: the service cannot be probed
    std::size_t connectionsPerBackendServer = 200; // of all instances together
    std::size_t queueLength = 200; // requests that wait at one instance
    double retryShare = 1; // highest share of retries; the settings may have a lower one
    double probeShare = 1; // factor for the number of probes that the settings allow
    double coldRequestsPerSecond = 0; // limit for a cold backend server, from all instances together; 0: no limit
    Milliseconds coldStart; // how long a backend server is cold after a pause
};

/** Limits on what callers send and how long they take. */
struct CallerLimits {
    std::size_t headerBytes = 8192;
    std::size_t bodyBytes = 1048576;
    Milliseconds headerTimeout{ 10000 };
    Milliseconds idleTimeout{ 300000 };

    bool operator==(const CallerLimits&) const = default;
};

/** The operators' configuration, in the form used for routing. */
struct RoutingConfiguration {
    std::uint64_t version = 0; // the operators' revision or version number
    std::vector<Route> routes;
    std::vector<ServiceDescription> services;
    std::vector<Customer> customers; // if there are any, requests need a key
    CallerLimits callerLimits;
};

}
