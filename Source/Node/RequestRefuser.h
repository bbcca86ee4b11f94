#pragma once

#include "Base/Random.h"
#include "Metrics/DecisionCounters.h"
#include "Node/Actions.h"
#include "Node/CrashingRequestDetector.h"
#include "Node/Events.h"
#include "Node/PathManager.h"
#include "Node/RequestState.h"
#include "Node/ServiceTable.h"

namespace burlreach {

/** Refuses requests: counts the reason, logs it, and tells the caller when to retry. */
class RequestRefuser {
public:
    /** All must outlive this object. */
    struct Dependencies {
        const ServiceTable* services = nullptr;
        Random* random = nullptr;
        DecisionCounters* counters = nullptr;
        const CrashingRequestDetector* crashes = nullptr;
        const PathManager* paths = nullptr;
    };

    explicit RequestRefuser(Dependencies parts)
        : dependencies(parts)
    {
    }

    /** Refuses a request that matches no route, or for which there is no configuration yet. */
    void refuseUnrouted(const RequestArrived& event, RefusalReason reason, Actions& actions) const;
    /** Refuses a request with the outcome "not run" unless one of its attempts may have run. */
    void refuse(const RequestState& request, RefusalReason reason, Milliseconds now, Actions& actions) const;

private:
    Dependencies dependencies;
};

}
