#pragma once

#include "Tests/Soak/ChildProcess.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace burlreach {

/**
 * Registers new lives of backend servers that had reported that they leave, as operators do after a restart. Lives are
 * registered one after another; the operators' call for each is repeated until it is accepted.
 */
class NewLives {
public:
    struct Options {
        /** Starts the call that registers this life of a server; tries is the number of calls so far. */
        std::function<std::unique_ptr<ChildProcess>(std::size_t server, std::uint64_t life, unsigned tries)> startCall;
        /** Called when the latest life of the server is in force at all instances. */
        std::function<void(std::size_t server)> known;
    };

    explicit NewLives(Options options);

    /** Notes that a server that had reported that it leaves has begun a new life. */
    void began(std::size_t server) { this->waiting.push_back(server); }
    void tend();
    bool areAllKnown() const { return this->waiting.empty(); }

private:
    using Clock = std::chrono::steady_clock;

    Options options;
    std::deque<std::size_t> waiting; // servers whose new life is still to be registered, in order
    std::unique_ptr<ChildProcess> call; // running call for the first waiting server
    std::optional<Clock::time_point> acceptedAt; // time at which that call was accepted
    std::uint64_t lastLife = 0;
    unsigned tries = 0;
};

}
