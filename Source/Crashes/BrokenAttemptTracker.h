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

/** An attempt whose connection closed before an answer. */
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

/** A server that may have crashed. */
struct ServerToCheck {
    std::string backendServer; // id
    NetworkAddress address;
};

/**
 * Holds attempts whose connections broke until it is known whether their servers crashed.
 *
 * Connections also break when servers are full, lose or corrupt answers, or because of the network. Only the end of the
 * server's process is evidence against a request. So the server is checked with new connections, which are used for
 * requests afterwards:
 * - If the connection is refused, the process has ended and the server crashed.
 * - If it is established, the process may still be ending, so there is a second check shortly afterwards. If that one
 *   succeeds as well, the server lives, and a later crash has another cause.
 */
class BrokenAttemptTracker {
public:
    struct Options {
        Milliseconds maxAge{ 1000 }; // maximum age of an attempt; both checks have ended by then
        /** Time between the checks; short, because the server may crash for another reason meanwhile. */
        Milliseconds secondCheckDelay{ 30 };
        /**
         * Maximum number of attempts. The loss of a data centre breaks a few hundred at one instance; more add nothing.
         */
        std::size_t maxAttempts = 256;
    };

    explicit BrokenAttemptTracker(Options options);

    /**
     * Adds an attempt. True when its server should be checked now; false while a check is pending, when the request
     * has no digest, or when too many attempts wait.
     */
    bool add(const BrokenAttempt& attempt, Milliseconds now);
    /** The server has crashed: removes its attempts and returns them. */
    std::vector<BrokenAttempt> takeCrashed(std::string_view backendServer);
    /** A check established a connection: schedules the second check, or ends the checks if that was the second. */
    void connectionEstablished(std::string_view backendServer, Milliseconds now);
    /** Starts the second checks that are due and returns their servers. */
    std::vector<ServerToCheck> takeDueChecks(Milliseconds now);
    /** When the next second check is due; Never without one. */
    Milliseconds nextCheck() const;
    /** Removes the attempts of a server that lives, or of which it is not known whether it crashed. */
    void forget(std::string_view backendServer);
    /** Number of broken attempts of this request, each of which may be a crash. */
    std::size_t countOf(const RequestDigest& digest) const;
    std::size_t size() const { return this->attempts.size(); }

private:
    enum class Step {
        First, // first check in progress
        Between, // waits for the second check
        Second // second check in progress
    };

    /** The checks of a server. */
    struct Check {
        ServerToCheck server;
        Step step = Step::First;
        Milliseconds secondAt;
    };

    std::vector<Check>::iterator findCheck(std::string_view backendServer);

    Options options;
    std::vector<BrokenAttempt> attempts;
    std::vector<Check> checks;
};

}
