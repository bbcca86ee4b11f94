#pragma once

#include "Base/Random.h"
#include "Measurement/ProbeDesk.h"
#include "Measurement/ServerSearch.h"
#include "Metrics/DecisionCounters.h"
#include "Node/Actions.h"
#include "Node/RequestState.h"

#include <string>

namespace burlreach {

/** Finds the backend server for an attempt of a request, and asks servers for their load where that may help. */
class ServerChooser {
public:
    struct Options {
        std::string dataCentre;
        bool probes = true;
        ServerSearch::Options search; // the data centre comes from above
    };

    /** All outlive this object. */
    struct Parts {
        ProbeDesk* probes = nullptr;
        Random* random = nullptr;
        DecisionCounters* counters = nullptr;
    };

    ServerChooser(Options options, Parts parts);

    /** Begins the search for a request that came; true when figures are awaited. */
    bool begin(RequestState& request, Milliseconds now, Actions& actions) const;
    /** True when the figures of this server end what the request waits for. */
    bool isEnough(RequestState& request, const BackendServerState& server, Milliseconds now) const;
    /** For a waiting request; while there is none others are asked as far as that may help. */
    Choice chooseOrAsk(RequestState& request, Milliseconds now, Actions& actions) const;
    /** For one more attempt, with what is known. */
    Choice chooseAgain(const RequestState& request, Milliseconds now) const;
    /** For a second attempt beside one that is under way. */
    Choice chooseForHedge(const RequestState& request, Milliseconds now) const;

private:
    RoutingContext contextOf(const RequestState& request, Milliseconds now) const;
    ChoiceWish wishOf(const RequestState& request, Milliseconds now) const;
    bool askForFigures(RequestState& request, Milliseconds now, Actions& actions) const;
    /** True when answers to questions are awaited. */
    bool holdBack(RequestState& request, Milliseconds now, Actions& actions) const;

    Options options;
    Parts parts;
    ServerSearch search;
};

}
