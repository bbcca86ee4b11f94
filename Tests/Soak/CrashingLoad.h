#pragma once

#include "Base/Milliseconds.h"
#include "Tests/Soak/ChildProcess.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace burlreach {

/**
 * A separate service in the soak, whose backend servers are reached without a proxy, and a request that crashes each
 * server that runs it. From startSending() to stopSending() the request is sent again and again, to the instances in
 * turn.
 */
class CrashingLoad {
public:
    struct Options {
        std::string build;
        std::string folder;
        std::size_t servers = 4;
        std::uint16_t firstServerPort = 0;
        std::vector<std::uint16_t> callersPorts; // ports at which the instances listen for callers, without the proxies
    };

    static constexpr const char* Service = "rosters";
    static constexpr const char* Host = "rosters.example";

    explicit CrashingLoad(Options options);
    ~CrashingLoad();
    CrashingLoad(const CrashingLoad&) = delete;
    CrashingLoad& operator=(const CrashingLoad&) = delete;

    void startServers();
    void startSending();
    void stopSending();
    /** Restarts crashed servers after a delay. */
    void tend();
    /** Notes that the instance has just resumed, so it need not know yet what the others sent during its suspension. */
    void suspensionEnded(std::size_t instance);
    /** One sentence for each broken guarantee; call it only after stopSending(). */
    std::vector<std::string> broken() const;
    std::size_t ends() const;

private:
    using Clock = std::chrono::system_clock;

    struct Server {
        std::unique_ptr<ChildProcess> process;
        Clock::time_point endedAt{}; // zero: the process runs
    };

    /** One sending of the request. */
    struct Sent {
        std::string id;
        std::size_t instance = 0;
        std::int64_t at = 0; // Unix milliseconds
        std::string reason; // reason given if the request was refused
    };

    struct Resumed {
        std::size_t instance = 0;
        std::int64_t at = 0;
    };

    /** One line of a server's journal. */
    struct Noted {
        std::string what; // "arrived" or "crashed"
        std::string id;
        std::int64_t at = 0;
    };

    std::string journalPath(std::size_t server) const;
    std::vector<Noted> journals() const;
    void send();
    void sendOnce(std::size_t number);
    bool isExcused(const Sent& sent) const;

    Options options;
    std::vector<Server> servers;
    std::atomic<bool> isSending{ false };
    std::thread sender;
    mutable std::mutex mutex;
    std::vector<Sent> sentRequests;
    std::vector<Resumed> resumed;
};

}
