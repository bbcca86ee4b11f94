#pragma once

#include "Base/Milliseconds.h"
#include "Metrics/DecisionCounters.h"
#include "Metrics/Reasons.h"
#include "Node/RequestState.h"

#include <memory>

namespace burlreach {

class CrashingRequestDetector;
class ServerChooser;

/** Decides when a second attempt of a request is due while its first is in flight, and whether it is sent. */
class HedgePlanner {
public:
    struct Options {
        bool isEnabled = true;
        double delayFactor = 2.2; // multiple of the expected response time after which a hedge is due
        double maxDelayShare = 0.5; // upper bound of the delay, as a fraction of the target latency
    };

    /** All must outlive this object. */
    struct Dependencies {
        const ServerChooser* chooser = nullptr;
        const CrashingRequestDetector* crashes = nullptr;
        DecisionCounters* counters = nullptr;
    };

    HedgePlanner(Options options, Dependencies parts);

    /** An attempt is being sent: plans its hedge. */
    void attemptSent(RequestState& request, Milliseconds now) const;
    /** An attempt has failed while another is in flight, which may never be answered: plans a new hedge. */
    void attemptFailed(RequestState& request, Milliseconds now) const;
    /**
     * A hedge is due: returns the server that it must be sent to, taken from the retry budget. Null when it is not
     * sent; the reason is counted, and the next check is planned.
     */
    std::shared_ptr<BackendServerState> chooseServer(RequestState& request, Milliseconds now) const;

private:
    /** The delay from sending, or from the last check, until the next check. */
    Milliseconds delay(const RequestState& request) const;
    /** True when an unloaded server that is sent the request now would answer after its target latency. */
    static bool isTooLate(const RequestState& request, Milliseconds now);
    void deny(RequestState& request, HedgeDenial denial) const;

    Options options;
    Dependencies dependencies;
};

}
