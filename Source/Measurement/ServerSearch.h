#pragma once

#include "Base/Random.h"
#include "Configuration/RoutingConfiguration.h"
#include "Measurement/ProbeDesk.h"
#include "Metrics/DecisionCounters.h"
#include "Routing/ServicePool.h"

#include <cstddef>
#include <string>
#include <vector>

namespace burlreach {

/** A request's search for a backend server that answers it in time. */
struct RequestSearch {
    Milliseconds arrivedAt;
    Milliseconds inTimeUntil; // a later answer is late
    Milliseconds usualTime; // to the answer of such a request at a server that is well
    Milliseconds holdUntil; // until then it is held back from servers where it would be late
    Milliseconds askUntil = Never; // then a round of questions is over
    unsigned rounds = 0;
    std::vector<std::string> asked; // backend servers whose figures are awaited
};

/**
 * Looks for a backend server for a request: whom to ask for figures, when
 * enough is known, and when the request is held back for a better server.
 *
 * Servers slow down for moments without a sign, and a request keeps the speed
 * at which it began. So a request that would be late for certain where it could
 * go now is held back, and others are asked meanwhile, as long as a server that
 * is well could still answer it in time. How slow is too slow follows from the
 * request's target and from what its route usually takes; nothing is set.
 */
class ServerSearch {
public:
    struct Options {
        unsigned askedAtOnce = 6; // servers whose figures should be fresh before a choice
        std::size_t askedAmong = 24; // of the best by what is known; one that may not be asked gives way to the next
        unsigned mostRounds = 6; // of questions for one request
        Milliseconds figuresFreshFor{ 25 }; // younger figures are not asked for again
        Milliseconds figuresTellFor{ 100 }; // who may not be asked now is replaced by another only when its are older
        Milliseconds longestAsking{ 14 }; // of a round
        double holdShare = 0.35; // of the target latency, at most
        std::string dataCentre; // of this instance
    };

    /** All outlive this object. */
    struct Parts {
        ProbeDesk* probes = nullptr;
        Random* random = nullptr;
        DecisionCounters* counters = nullptr;
    };

    /** What a search for a request begins with. */
    struct Beginning {
        Milliseconds target; // latency of its route
        Milliseconds spent; // by its caller before it came here
        Milliseconds usualTime;
    };

    ServerSearch(Options options, Parts parts);

    RequestSearch begin(const Beginning& beginning, Milliseconds now) const;
    /** A round of questions, appended; false when nothing is left to be asked. */
    bool ask(RequestSearch& search, const ServiceDescription& service, const ServicePool& pool,
        const RoutingContext& context, std::vector<Probe>& questions) const;
    /** True while another round of questions may bring a better server than one of which nothing is known. */
    bool mayAsk(const RequestSearch& search, Milliseconds now) const;
    /** An awaited server has answered, or will not: true when the request should be given a server now. */
    bool isEnough(RequestSearch& search, const BackendServerState& server, Milliseconds now) const;
    /**
     * Servers where work takes more times as long than this are no choice for
     * the request at the moment; infinite when any server is better than none.
     */
    double longestWork(const RequestSearch& search, Milliseconds now) const;
    /** The same for an attempt that is only of use in time. */
    static double longestWorkInTime(const RequestSearch& search, Milliseconds now);

private:
    /** True when its answer will come; false when the budget does not allow the question. */
    bool askOne(const std::shared_ptr<BackendServerState>& server, RequestSearch& search,
        const ServiceDescription& service, Milliseconds now, std::vector<Probe>& questions) const;
    bool isGoodEnough(const BackendServerState& server, const RequestSearch& search, Milliseconds now) const;

    Options options;
    Parts parts;
};

}
