#pragma once

#include "Base/Random.h"
#include "Measurement/ProbeManager.h"
#include "Measurement/ServerSearch.h"
#include "Metrics/DecisionCounters.h"
#include "Node/Actions.h"
#include "Node/PathManager.h"
#include "Node/RequestState.h"

#include <string>

namespace burlreach {

/** Chooses the backend server for an attempt, and probes servers for their load where that may improve the choice. */
class ServerChooser {
public:
    struct Options {
        std::string dataCentre;
        bool probes = true;
        ServerSearch::Options search; // its dataCentre is filled in from the field above
    };

    /** All must outlive this object. */
    struct Dependencies {
        ProbeManager* probes = nullptr;
        Random* random = nullptr;
        DecisionCounters* counters = nullptr;
        const PathManager* paths = nullptr;
    };

    ServerChooser(Options options, Dependencies parts);

    /** Starts the search for a new request; true when load reports are awaited. */
    bool startSearch(RequestState& request, Milliseconds now, Actions& actions) const;
    /** True when the request need not wait for further load reports after this server's report or failed probe. */
    bool isEnough(RequestState& request, const BackendServerState& server, Milliseconds now) const;
    /** Chooses for a queued request. If no suitable server is known, probes further servers where that may help. */
    ServerChoice chooseOrProbe(RequestState& request, Milliseconds now, Actions& actions) const;
    /** Chooses for a retry from the load reports at hand, without probing. */
    ServerChoice chooseForRetry(const RequestState& request, Milliseconds now) const;
    /**
     * Chooses among servers with known room at the end of a request's wait, slow ones included; null when none has
     * room. Sets what had kept the request from being sent.
     */
    std::shared_ptr<BackendServerState> chooseAtEndOfWait(RequestState& request, Milliseconds now) const;
    /** Chooses for a second attempt while the first is still in flight. */
    ServerChoice chooseForHedge(const RequestState& request, Milliseconds now) const;

private:
    RoutingContext contextOf(const RequestState& request, Milliseconds now) const;
    SelectionCriteria criteriaOf(const RequestState& request, Milliseconds now) const;
    /** Why a request was not sent although servers had known room. */
    HoldReason holdReasonOf(const RequestState& request, Milliseconds now) const;
    bool probeServers(RequestState& request, Milliseconds now, Actions& actions) const;
    /** Keeps the request waiting for a better server; true while probe answers are awaited. */
    bool waitForBetterServer(RequestState& request, Milliseconds now, Actions& actions) const;

    Options options;
    Dependencies dependencies;
    ServerSearch search;
};

}
