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
 * A service of its own for the soak, whose servers listen at their own ports
 * without a proxy, and a request that ends each of them that runs it. It comes
 * again and again, to each instance by turns, for as long as this object lives.
 */
class CrashingLoad {
public:
    struct Options {
        std::string build;
        std::string folder;
        std::size_t servers = 4;
        std::uint16_t firstServerPort = 0;
        std::vector<std::uint16_t> callersPorts; // of the instances themselves
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
    /** Starts servers again some time after they ended. */
    void tend();
    /** The instance has just gone on after a suspension, so it need not know yet what was told meanwhile. */
    void suspensionEnded(std::size_t instance);
    /** Broken promises, a sentence each; only after stopSending(). */
    std::vector<std::string> broken() const;
    std::size_t ends() const;

private:
    using Clock = std::chrono::system_clock;

    struct Server {
        std::unique_ptr<ChildProcess> process;
        Clock::time_point endedAt{}; // zero: it runs
    };

    /** The request as it was sent once. */
    struct Sent {
        std::string id;
        std::size_t instance = 0;
        std::int64_t at = 0; // Unix milliseconds
        std::string reason; // of a refusal
    };

    struct Resumed {
        std::size_t instance = 0;
        std::int64_t at = 0;
    };

    /** A line of a server's journal. */
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
