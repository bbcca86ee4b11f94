#pragma once

#include "Base/Milliseconds.h"
#include "Base/NetworkAddress.h"
#include "Crashes/RequestDigest.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace burlreach {

/** An attempt whose connection broke before an answer. */
struct BrokenAttempt {
    RequestDigest digest;
    std::string backendServer; // id
    std::uint64_t life = 0;
    NetworkAddress address;
    Milliseconds brokeAt;
    std::string route;
    std::string path;
    std::string caller;
};

/** A server whose process may have ended. */
struct ServerToCheck {
    std::string backendServer; // id
    NetworkAddress address;
};

/**
 * Attempts whose connections broke, until it is known whether their servers
 * ended.
 *
 * Connections also break at servers that are full, that lose or spoil answers,
 * and on the way; only the end of the process says something of a request. So
 * the server is looked at, by new connections that are used afterwards: where
 * nobody listens any more the process has ended. Where one comes up the process
 * may still be ending, so there is a second look. An end that comes later has
 * another cause.
 */
class BrokenAttempts {
public:
    struct Options {
        Milliseconds kept{ 1000 }; // by then both looks have ended
        Milliseconds secondLook{ 30 }; // after the first one; meanwhile the server may end from another cause
        /** The loss of a data centre breaks a few hundred at one instance; the rest of them says no more. */
        std::size_t most = 256;
    };

    explicit BrokenAttempts(Options options);

    /** True when the server should be looked at; false while that is under way, or when too many wait. */
    bool add(const BrokenAttempt& attempt, Milliseconds now);
    /** The server's process has ended: gives its attempts, which are no longer kept. */
    std::vector<BrokenAttempt> ended(std::string_view backendServer);
    /** A connection came up: there will be another look, or that was it and the server lives. */
    void cameUp(std::string_view backendServer, Milliseconds now);
    /** Servers whose second look begins now. */
    std::vector<ServerToCheck> takeDue(Milliseconds now);
    /** When the next second look is due; Never when there is none. */
    Milliseconds nextLook() const;
    /** It cannot be told whether the process ended, or it lives: they are forgotten. */
    void forget(std::string_view backendServer);
    /** Of this request; each may be the end of a server. */
    std::size_t of(const RequestDigest& digest) const;
    std::size_t size() const { return this->attempts.size(); }

private:
    enum class Step {
        First, // under way
        Between,
        Second // under way
    };

    /** A server that is looked at. */
    struct Look {
        ServerToCheck server;
        Step step = Step::First;
        Milliseconds secondAt;
    };

    std::vector<Look>::iterator lookAt(std::string_view backendServer);

    Options options;
    std::vector<BrokenAttempt> attempts;
    std::vector<Look> looks;
};

}
