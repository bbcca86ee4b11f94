#pragma once

#include "Base/Random.h"
#include "Routing/OutlierDetector.h"
#include "Routing/RoutingPolicy.h"
#include "configuration.pb.h"

#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace burlreach {

/** Why there was no backend server to choose. */
enum class NoChoice {
    Full, // some take requests, but none has room now
    NobodyTakes // none is there, or all are draining or leaving
};

/** A chosen backend server, or why there is none. */
struct Choice {
    std::shared_ptr<BackendServerState> server;
    NoChoice reason = NoChoice::NobodyTakes;
};

/** The backend servers of one service and the choice among them. */
class ServicePool {
public:
    struct Options {
        bool adaptive = true; // limits for each backend server, ejections
    };

    ServicePool(std::unique_ptr<RoutingPolicy> policy, Options options);

    /** Keeps what is known of backend servers that stay. */
    void configure(const v1::Service& service, std::size_t connectionsPerBackendServer, std::size_t instances);

    /** Prefers backend servers that are not among the tried ones. */
    Choice choose(
        std::span<const std::shared_ptr<BackendServerState>> tried, const RoutingContext& context, Random& random);

    /** Ejects the backend server when it has failed too often; true if so. */
    bool checkOutlier(BackendServerState& server, Milliseconds now);

    std::shared_ptr<BackendServerState> find(std::string_view name) const;
    std::span<const std::shared_ptr<BackendServerState>> servers() const { return this->list; }
    /** Requests that may be in flight from here, all backend servers together. */
    double concurrency() const;
    /** The mean time to answer, if any is known. */
    std::optional<Milliseconds> meanResponse() const;

private:
    std::vector<BackendServerState*> takers(
        std::span<const std::shared_ptr<BackendServerState>> tried, Milliseconds now) const;
    std::vector<BackendServerState*> filter(
        std::span<const std::shared_ptr<BackendServerState>> tried, Milliseconds now, bool withEjected) const;

    Options options;
    std::unique_ptr<RoutingPolicy> policy;
    OutlierDetector outliers;
    std::vector<std::shared_ptr<BackendServerState>> list;
};

}
