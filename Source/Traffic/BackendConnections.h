#pragma once

#include "Base/Clock.h"
#include "Traffic/BackendConnection.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace burlreach {

/**
 * Open connections to backend servers that wait to be used again. A new one is
 * made only when none waits, so there are never more than were in use at once.
 */
class BackendConnections {
public:
    explicit BackendConnections(const Clock& clock);

    std::shared_ptr<BackendConnection> take(const NetworkAddress& address);
    /** Only connections whose exchange ended cleanly come back. */
    void put(const NetworkAddress& address, std::shared_ptr<BackendConnection> connection);
    /** Closes those that have waited for long. */
    void closeIdle();

private:
    struct Idle {
        std::shared_ptr<BackendConnection> connection;
        Milliseconds since;
    };

    const Clock* clock;
    std::mutex mutex;
    std::map<NetworkAddress, std::vector<Idle>> idle;
};

}
