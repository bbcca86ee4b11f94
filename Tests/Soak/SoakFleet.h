#pragma once

#include "Attempts/RetryBudget.h"
#include "Tests/Soak/ChildProcess.h"
#include "Tests/Soak/CrashingLoad.h"
#include "Tests/Soak/LoopbackProxy.h"
#include "Tests/Soak/NewLives.h"
#include "Tests/Soak/SoakPlan.h"
#include "Tests/Soak/UnrulyCallers.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace burlreach {

/**
 * Real processes on loopback: the store, backend servers, instances of burlreach, and callers, with proxies between
 * callers and instances, instances and store, and instances and backend servers.
 */
class SoakFleet {
public:
    struct Options {
        std::string build; // build folder, with the programs
        std::string folder; // folder for settings, logs, journals, and results
        std::size_t instances = 3;
        std::size_t servers = 4;
        std::uint16_t firstPort = 21000;
        bool hasCrashingRequest = false; // runs a CrashingLoad, with instances that can be suspended
        /** Some requests take longer than a stop leaves them at its end, and all requests carry ids. */
        bool hasLongRequests = false;
        bool hasRelays = false; // instances relay for each other, and their paths to servers can be cut
        std::size_t memoryMegabytes = 0; // of an instance's machine; 0: the program's default
    };

    explicit SoakFleet(const Options& options);
    ~SoakFleet();
    SoakFleet(const SoakFleet&) = delete;
    SoakFleet& operator=(const SoakFleet&) = delete;

    /** Starts all processes and configures the service; returns false if that fails. */
    bool start();
    void begin(const SoakStep& step);
    void end(const SoakStep& step);
    /** Ends all faults and starts every process that does not run. */
    void heal();
    /** Restarts instances that have completed a planned stop; tends the crashing load and the new lives. */
    void tend();
    /** Waits until every instance is ready with the latest accepted change; returns false after this time. */
    bool settles(Milliseconds patience);

    /** Starts callers with the load of a run; their result goes to NAME.json. */
    std::unique_ptr<ChildProcess> startCallers(const std::string& name, int seconds, std::uint64_t seed) const;
    /** Starts callers of the service whose servers crash; their result goes to neighbours.json. */
    std::unique_ptr<ChildProcess> startNeighbours(int seconds) const;
    /** The crashing load, or null if the run has none. */
    CrashingLoad* crashes() { return this->crashingLoad.get(); }
    std::string journalPath(std::size_t server) const;
    /** File with the id and time of each request that the server received. */
    std::string arrivalsPath(std::size_t server) const;
    /** The bound on retries in the settings of the instances. */
    static RetryLimits retryLimits();
    std::string pathOf(const std::string& name) const { return this->options.folder + "/" + name; }
    std::size_t servers() const { return this->options.servers; }
    std::size_t instanceCount() const { return this->options.instances; }
    /** Names of programs that ended unexpectedly or with a failure. */
    std::vector<std::string> failures();
    /** The number of attempts that the running instances have sent through other instances. */
    std::uint64_t relayedAttempts() const;
    /** The most memory in bytes that an instance has held, as seen at each call of tend(). */
    std::size_t peakMemory() const { return this->mostMemory; }

private:
    struct Instance {
        std::unique_ptr<ChildProcess> process;
        std::unique_ptr<LoopbackProxy> callers;
        std::unique_ptr<LoopbackProxy> store;
        std::unique_ptr<UnrulyCallers> crowd; // null: none
        bool isStopping = false;
        int suspendedMilliseconds = 0; // sum of all suspensions so far
    };

    struct Server {
        std::unique_ptr<ChildProcess> process;
        std::unique_ptr<LoopbackProxy> proxy;
    };

    /** The use of a port, as an offset from the first port. */
    enum class Part : std::uint16_t {
        Store = 0,
        StoreProxy = 10,
        Server = 100,
        ServerProxy = 200,
        Callers = 300,
        CallersProxy = 400,
        Operators = 500,
        Peers = 600,
        CrashingServer = 700,
        Relay = 800
    };

    std::uint16_t port(Part part, std::size_t index = 0) const;
    std::unique_ptr<ChildProcess> program(const std::string& name, std::vector<std::string> command) const;
    void addInstance(std::size_t index);
    /** Starts a planned stop, unless this is the last running instance. */
    void stopInstance(std::size_t index);
    void addServer(std::size_t index);
    void writeSettings(std::size_t index) const;
    bool control(std::size_t instance, std::vector<std::string> words, const std::string& log) const;
    bool configure() const;
    bool nameServer(const std::string& service, const std::string& name, std::uint16_t serverPort) const;
    static std::vector<std::string> namingWords(
        const std::string& service, const std::string& name, std::uint16_t serverPort);
    std::unique_ptr<ChildProcess> startNamingLife(std::size_t server, std::uint64_t life, unsigned tries) const;
    void resumeSuspended(std::size_t index);
    std::string cutPath(std::size_t index) const { return this->pathOf("cut-" + std::to_string(index)); }
    /** Refuses the instance's new connections to all servers, or to none. */
    void setPathsCut(std::size_t index, bool areCut) const;
    std::string clockPath(std::size_t index) const { return this->pathOf("clock-" + std::to_string(index)); }
    void changeConfiguration(std::size_t instance);
    bool isReady(std::size_t instance) const;
    std::uint64_t latestAccepted() const;
    std::uint64_t revisionOf(std::size_t instance) const;
    /** Sends a command to the control address of a stand-in. */
    static void tellStandIn(std::uint16_t port, const std::string& what);
    static void setFault(std::uint16_t port, const std::string& name);

    Options options;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::thread proxies;
    std::unique_ptr<ChildProcess> store;
    std::vector<Instance> instances;
    std::vector<Server> backendServers;
    std::unique_ptr<ChildProcess> change; // the running configuration change
    std::size_t crowds = 0; // so far
    NewLives newLives;
    std::size_t mostMemory = 0;
    std::unique_ptr<CrashingLoad> crashingLoad;
};

}
