#pragma once

#include "Base/Random.h"
#include "Configuration/RoutingConfiguration.h"
#include "Measurement/ProbeManager.h"
#include "Metrics/DecisionCounters.h"
#include "Routing/ServicePool.h"

#include <cstddef>
#include <string>
#include <vector>

namespace burlreach {

/** The state of a request's search for a backend server that can answer it in time. */
struct ServerSearchState {
    Milliseconds arrivedAt;
    Milliseconds inTimeUntil; // answers after this time are late
    Milliseconds usualTime; // time in which an unloaded server answers such a request
    Milliseconds holdUntil; // until then the request is not sent to servers where it would be late
    Milliseconds roundEndsAt = Never; // end of the current round of probes
    unsigned rounds = 0; // rounds of probes so far
    std::vector<std::string> awaitedServers; // backend servers whose load reports are awaited
};

/**
 * Decides for each request which backend servers to probe, when the reports are sufficient to choose one, and how long
 * to hold the request back for a better server.
 *
 * Before a choice, the servers with the best scores are probed in rounds, unless their reports are fresh. A round ends
 * when a good server has answered, when all have answered, or after a fixed time.
 *
 * Servers slow down for short periods without notice, and a request keeps the speed at which it started. So a request
 * that would certainly be late at the servers available now is held back while other servers are probed, as long as a
 * server at usual speed could still answer it in time. How slow is too slow follows from the target latency of the
 * request and the usual time of its route; it is not a setting.
 */
class ServerSearch {
public:
    struct Options {
        unsigned serversPerRound = 6; // servers whose reports should be fresh before a choice
        std::size_t candidatesPerRound = 24; // best servers considered; those that may not be probed are skipped
        unsigned mostRounds = 6; // of probes for one request
        Milliseconds reportFreshFor{ 25 }; // a server with a younger report is not probed again
        Milliseconds reportUsableFor{ 100 }; // a server that may not be probed is replaced only if its report is older
        Milliseconds maxRoundTime{ 14 }; // maximum duration of a round
        double holdShare = 0.35; // of the target latency that a request may be held back
        std::string dataCentre; // of this instance
    };

    /** All must outlive this object. */
    struct Dependencies {
        ProbeManager* probes = nullptr;
        Random* random = nullptr;
        DecisionCounters* counters = nullptr;
    };

    /** Input for a new search. */
    struct SearchInput {
        Milliseconds target; // target latency of the route
        Milliseconds spent; // time that the caller has spent before this request
        Milliseconds usualTime;
    };

    ServerSearch(Options options, Dependencies parts);

    ServerSearchState begin(const SearchInput& input, Milliseconds now) const;
    /** Starts a round and appends its probes to `probes`; false when there is nothing to wait for. */
    bool startRound(ServerSearchState& search, const ServiceDescription& service, const ServicePool& pool,
        const RoutingContext& context, std::vector<Probe>& probes) const;
    /** True while another round of probes may start and find a better server than one without a recent report. */
    bool mayStartRound(const ServerSearchState& search, Milliseconds now) const;
    /** A probed server has answered or failed to answer: true when a server should be chosen for the request now. */
    bool isProbingDone(ServerSearchState& search, const BackendServerState& server, Milliseconds now) const;
    /**
     * How many times longer than usual work may take at a server for it to be chosen now; infinite when any server is
     * better than none.
     */
    double maxWorkFactor(const ServerSearchState& search, Milliseconds now) const;
    /** The same for an attempt that is useless when it is late, such as a hedge. */
    static double maxWorkFactorInTime(const ServerSearchState& search, Milliseconds now);

private:
    /** Probes a server, or awaits the probe in flight to it; false when the budget does not allow a probe. */
    bool probeServer(const std::shared_ptr<BackendServerState>& server, ServerSearchState& search,
        const ServiceDescription& service, Milliseconds now, std::vector<Probe>& probes) const;
    bool isGoodEnough(const BackendServerState& server, const ServerSearchState& search, Milliseconds now) const;

    Options options;
    Dependencies dependencies;
};

}
