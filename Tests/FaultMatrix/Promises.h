#pragma once

#include "Tests/Virtual/VirtualFleet.h"

#include <string>
#include <vector>

namespace burlreach {

/** Broken promises, a sentence each; none is what is wanted. */
class Promises {
public:
    explicit Promises(const VirtualFleet& fleet);

    /** What callers and backend servers saw from the beginning until now. */
    void checkRequests();
    /** Nobody who knew of the drain sent anything there after the bound. */
    void checkDrain(const std::string& serverId, Milliseconds acknowledged, Milliseconds bound);

    /**
     * A request that ends servers was sent to few of them by instances that were spared, later than all should know of
     * it; the bound counts from the third end or from this time. No other request was taken for it.
     */
    void checkCrashes(Milliseconds notBefore, std::size_t struckInstance);
    /** Nothing was sent to this server between these times. */
    void checkUnused(const std::string& serverId, Milliseconds from, Milliseconds until);
    /** Something was sent there after this time. */
    void checkUsed(const std::string& serverId, Milliseconds from);

    const std::vector<std::string>& broken() const { return this->sentences; }

private:
    int runsOf(const std::string& requestId) const;
    void checkCaller(const VirtualCaller& caller);

    const VirtualFleet* fleet;
    std::vector<std::string> sentences;
};

}
