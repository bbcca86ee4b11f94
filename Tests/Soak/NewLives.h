#pragma once

#include "Tests/Soak/ChildProcess.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

namespace burlreach {

/**
 * Names new lives of backend servers that had said that they leave, as
 * operators do after a restart: one after the other, each until a call of the
 * operators is accepted.
 */
class NewLives {
public:
    /** Starts the call that names this life of a server; tries count the calls so far. */
    using StartCall
        = std::function<std::unique_ptr<ChildProcess>(std::size_t server, std::uint64_t life, unsigned tries)>;

    explicit NewLives(StartCall startCall);

    /** A server that had said it leaves has begun anew. */
    void began(std::size_t server) { this->waiting.push_back(server); }
    void tend();
    bool areAllNamed() const { return this->waiting.empty(); }

private:
    StartCall startCall;
    std::deque<std::size_t> waiting; // servers
    std::unique_ptr<ChildProcess> call; // for the first of them
    std::uint64_t lastLife = 0;
    unsigned tries = 0;
};

}
