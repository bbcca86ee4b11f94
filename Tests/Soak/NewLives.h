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
 * Names new lives of backend servers that had said that they leave, as
 * operators do after a restart: one after the other, each until a call of the
 * operators is accepted.
 */
class NewLives {
public:
    struct Options {
        /** Starts the call that names this life of a server; tries count the calls so far. */
        std::function<std::unique_ptr<ChildProcess>(std::size_t server, std::uint64_t life, unsigned tries)> startCall;
        /** The name of the server's latest life is in force at all instances. */
        std::function<void(std::size_t server)> known;
    };

    explicit NewLives(Options options);

    /** A server that had said it leaves has begun anew. */
    void began(std::size_t server) { this->waiting.push_back(server); }
    void tend();
    bool areAllKnown() const { return this->waiting.empty(); }

private:
    using Clock = std::chrono::steady_clock;

    Options options;
    std::deque<std::size_t> waiting; // servers
    std::unique_ptr<ChildProcess> call; // for the first of them
    std::optional<Clock::time_point> acceptedAt; // of that call
    std::uint64_t lastLife = 0;
    unsigned tries = 0;
};

}
