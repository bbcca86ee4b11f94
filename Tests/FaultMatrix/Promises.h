#pragma once

#include "Tests/Virtual/VirtualFleet.h"

#include <string>
#include <vector>

namespace burlreach {

/** Checks the guarantees of the balancer after a run and collects one sentence for each violation. */
class Promises {
public:
    explicit Promises(const VirtualFleet& fleet);

    /** Compares what callers received with what backend servers ran, from the beginning until now. */
    void checkRequests();
    /** No instance sent the drained server a request later than the bound after the drain was acknowledged. */
    void checkDrain(const std::string& serverId, Milliseconds acknowledged, Milliseconds bound);

    /**
     * A request that crashes servers was sent to at most a few servers, by instances other than the struck one, after
     * all of them should have known of it: some time after the third crash or after notBefore, whichever is later. No
     * other request was refused as one that crashes servers.
     */
    void checkCrashes(Milliseconds notBefore, std::size_t struckInstance);
    /** No request was sent to this server between these times. */
    void checkUnused(const std::string& serverId, Milliseconds from, Milliseconds until);
    /** At least one request was sent to this server after this time. */
    void checkUsed(const std::string& serverId, Milliseconds from);

    const std::vector<std::string>& broken() const { return this->sentences; }

private:
    int runsOf(const std::string& requestId) const;
    void checkCaller(const VirtualCaller& caller);

    const VirtualFleet* fleet;
    std::vector<std::string> sentences;
};

}
