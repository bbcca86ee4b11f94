#pragma once

#include "Base/Milliseconds.h"
#include "Configuration/BackendServerRecord.h"
#include "Routing/ConnectOutcome.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burlreach {

/** What a check through another instance has shown about a server that this instance cannot connect to. */
enum class PathVerdict {
    Lost, // the server accepts connections: only the path from this instance is broken
    ServerDown, // the other instance reaches other servers of the service, but not this one
    Unknown // no other instance could tell
};

/** The servers of a service to which a direct connection failed, by what other instances found. */
struct ServiceEvidence {
    std::size_t lost = 0; // another instance could connect
    std::size_t down = 0; // another instance could not connect either
    std::size_t unknown = 0; // no other instance could tell
};

/**
 * Records whether this instance's own network path to each backend server works.
 *
 * A direct connection that fails makes a server suspect. If another instance can connect to it, its path is lost. Lost
 * paths to two servers of a service in the same data centre, without a direct success there since, are taken to mean
 * that all paths to the service in this data centre are lost; in two data centres, all paths to the service. Nothing is
 * inferred about other services, which may be reached over other paths. Suspect servers are checked again at intervals,
 * so that a path that is back is found.
 */
class PathMonitor {
public:
    struct Options {
        Milliseconds recheckInterval{ 500 }; // between two checks of the same server
        Milliseconds checkSpacing{ 25 }; // between the checks of any two servers, so that many do not start at once
        unsigned mostIntervals = 4; // between two checks of a server whose path is not known to be lost
        std::size_t lossesToInfer = 2; // lost paths from which those to other servers are inferred
        /** Failed servers of a service from which no server of it counts as reached; all, if it has fewer. */
        std::size_t failuresToGiveUp = 8;
        unsigned mostAsks = 3; // other instances that are asked after one failure while none of them can tell
    };

    explicit PathMonitor(Options options);

    /** A direct connection to the server was established, or a server answered on one. */
    void recordSuccess(const BackendServerRecord& server, Milliseconds now);
    /** A direct connection could not be established. */
    void recordFailure(const BackendServerRecord& server, Milliseconds now);
    /** True when another instance should be asked about a server that just failed; counts it as asked. */
    bool startAsking(std::string_view backendServer, Milliseconds now);
    /**
     * Records what another instance found. If it can connect, the path is lost once a further direct connection fails:
     * the server may have been restarted meanwhile. Unknown does not replace what an earlier one found.
     */
    void recordVerdict(const std::string& backendServer, PathVerdict verdict);
    /** True when another instance should be asked at once, since the last one could not tell; counts it as asked. */
    bool askAgain(std::string_view backendServer);
    /** What another instance found last; empty when none has answered since the last success. */
    std::optional<PathVerdict> verdict(std::string_view backendServer) const;
    /** The server has left or has a new life. */
    void forget(std::string_view backendServer);

    /** True when requests must not be sent directly to this server. */
    bool isLost(const BackendServerRecord& server) const;
    /** True when a direct connection to the server failed and none has succeeded since. */
    bool isSuspect(std::string_view backendServer) const { return this->suspects.contains(backendServer); }
    bool hasSuspects() const { return !this->suspects.empty(); }
    /** The number of servers of the service that failed since the last direct success at any of them. */
    std::size_t countFailed(const std::string& service) const;
    /** True when all servers of the service, which has `size`, or many, failed and none was reached directly since. */
    bool isUnreached(const std::string& service, std::size_t size) const;
    /** What the failed connections to servers of the service have shown. */
    ServiceEvidence evidence(const std::string& service) const;
    /** Changes whenever isLost() may have changed. */
    std::uint64_t lossGeneration() const { return this->lossCount; }
    /** Changes whenever countFailed() may have changed. */
    std::uint64_t failureGeneration() const { return this->failureCount; }
    /** The number of servers to which connections failed since the last direct success at any server. */
    std::size_t countNewlyFailed() const;
    /** When any server last answered or accepted a connection directly. */
    Milliseconds lastSuccess() const { return this->lastSuccessAnywhere; }
    /** When a server of the service last answered or accepted a connection directly. */
    Milliseconds lastSuccess(const std::string& service) const;
    /** True when a direct check of this server may start now; counts it as started. */
    bool startCheck(const BackendServerRecord& server, Milliseconds now);
    /** The next suspect server to check, if a check is due; counts it as started. */
    std::optional<std::string> takeDueCheck(Milliseconds now);
    Milliseconds nextCheck() const;

private:
    /** The servers of a service in one data centre. */
    struct Part {
        Milliseconds lastSuccess = LongAgo;
        std::size_t lost = 0; // servers with a lost path whose first failure is later than the last success here
        std::size_t lostSinceSuccessOfService = 0; // the same with the last success anywhere in the service
        bool isInferred = false; // all paths to it are taken to be lost
    };

    struct Service {
        Milliseconds lastSuccess = LongAgo;
        std::size_t failed = 0; // servers whose first failure is later than the last success
        std::size_t partsWithLosses = 0; // data centres with lost paths since the last success
        bool isInferred = false; // all paths to it are taken to be lost
        std::map<std::string, Part, std::less<>> parts; // by data centre
    };

    /** A server to which a direct connection failed. */
    struct SuspectServer {
        std::string serviceName;
        Service* service = nullptr; // entries are never removed
        Part* part = nullptr;
        Milliseconds failedAt; // first failure since the last success
        Milliseconds checkedAt; // start of the last direct check
        Milliseconds askedAt = LongAgo; // when another instance was last asked after a failure
        unsigned asks = 0; // other instances asked since then
        unsigned failures = 0;
        bool isReachedElsewhere = false; // another instance connected after the last direct failure
        std::optional<PathVerdict> verdict; // empty until another instance has answered
    };

    /** Counts anew what the suspect servers show of each service, and infers lost paths from it. */
    void evaluate();
    void eraseSuspect(std::string_view backendServer);
    Milliseconds dueAt(const SuspectServer& server) const;

    Options options;
    std::map<std::string, Service, std::less<>> services;
    std::map<std::string, SuspectServer, std::less<>> suspects; // by id
    std::size_t lostCount = 0; // suspect servers whose path is lost
    std::uint64_t lossCount = 0;
    std::uint64_t failureCount = 0;
    Milliseconds lastSuccessAnywhere = LongAgo;
    std::map<std::string, Milliseconds, std::less<>> checks; // start of the last check of servers that are not suspect
    Milliseconds lastCheckAt = LongAgo;
};

}
