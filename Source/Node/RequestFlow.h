#pragma once

#include "Base/Random.h"
#include "Measurement/ProbeDesk.h"
#include "Metrics/DecisionCounters.h"
#include "Node/Actions.h"
#include "Node/CrashingRequests.h"
#include "Node/Events.h"
#include "Node/QuotaDesk.h"
#include "Node/RequestState.h"
#include "Node/RolloutDesk.h"
#include "Node/ServerChooser.h"
#include "Node/ServerLimits.h"
#include "Node/ServiceTable.h"
#include "Node/StoreKeeper.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace burlreach {

/**
 * Takes each request from its arrival to its final answer: ask for load, wait,
 * send, retry, hedge, refuse.
 *
 * A run-once request is sent again only after a proof that it did not run, and
 * "not run" is said only with one. A request that is given up is answered at
 * once.
 */
class RequestFlow {
public:
    struct Options {
        std::string dataCentre;
        bool probes = true;
        bool hedges = true;
        bool freshFirst = true; // callers that can still be in time go before those that are late
        ServerSearch::Options search; // the data centre comes from above
        double waitShare = 0.22; // of the target latency that a request may wait for room
        double hedgeAfter = 2.2; // in expected times
        double latestHedge = 0.5; // of the target latency
    };

    /** The other parts that a request meets; all outlive this object. */
    struct Parts {
        ServiceTable* services = nullptr;
        ProbeDesk* probes = nullptr;
        Random* random = nullptr;
        DecisionCounters* counters = nullptr;
        const StoreKeeper* store = nullptr;
        CrashingRequests* crashes = nullptr;
        QuotaDesk* quotas = nullptr;
        RolloutDesk* rollouts = nullptr;
        ServerLimits* limits = nullptr;
    };

    RequestFlow(Options options, Parts parts);

    void arrived(const RequestArrived& event, Milliseconds now, Actions& actions);
    void callerGone(const CallerGone& event, Milliseconds now, Actions& actions);
    /** Gives the server that the attempt was sent to; null when nobody waits for its end any more. */
    std::shared_ptr<BackendServerState> attemptEnded(const AttemptEnded& event, Milliseconds now, Actions& actions);
    /** The figures of this backend server are there, or will not come. */
    void figuresCame(const BackendServerState& server, Milliseconds now, Actions& actions);
    /** Goes on with requests whose credit was decided. */
    void creditDecided(Milliseconds now, Actions& actions);
    /** Backend servers came, or have room again. */
    void capacityChanged(Milliseconds now, Actions& actions);
    void tick(Milliseconds now, Actions& actions);
    /** When tick() is needed next. */
    Milliseconds nextDue(Milliseconds now) const;
    std::size_t openRequests() const { return this->requests.size(); }

private:
    using Requests = std::unordered_map<RequestNumber, RequestState>;

    void refuseUnrouted(const RequestArrived& event, RefusalReason reason, Actions& actions) const;
    RequestState& open(const RequestArrived& event, std::shared_ptr<const Route> route, Milliseconds now);
    /** The configuration may have changed since it was judged last. */
    std::optional<RefusalReason> judgeKey(RequestState& request) const;
    /** Why it must not be sent now, whatever servers there are. */
    std::optional<RefusalReason> whyNotSent(RequestState& request, Milliseconds now) const;
    void takeCredit(RequestState& request, const CreditDecision& decision, Milliseconds now, Actions& actions);
    /** Its customer may send it: the search for a server begins. */
    void begin(RequestState& request, Milliseconds now, Actions& actions);
    void judgeCaller(RequestState& request) const;
    /** Its rank in the queue: within a route's rank the late ones come last. */
    static std::uint32_t placeOf(const RequestState& request);
    void enqueue(RequestState& request, Milliseconds now, Actions& actions);
    void pump(ServiceState& service, Milliseconds now, Actions& actions);
    void send(RequestState& request, std::shared_ptr<BackendServerState> server, Milliseconds now, Actions& actions);

    void learn(
        RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now, Actions& actions) const;
    void decideAfter(RequestState& request, const AttemptEnded& event, Milliseconds now, Actions& actions);
    bool tryAgain(RequestState& request, const AttemptEnd& end, Milliseconds now, Actions& actions);
    /** From the sending, or from the last look, to the look whether a second attempt should begin. */
    Milliseconds hedgePatience(const RequestState& request) const;
    void hedge(RequestState& request, Milliseconds now, Actions& actions);
    void pass(RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now, Actions& actions);
    void refuse(RequestState& request, RefusalReason reason, Milliseconds now, Actions& actions);
    void timedOut(RequestState& request, Milliseconds now, Actions& actions);
    void close(RequestState& request, Milliseconds now, Actions& actions);
    void tickRequest(RequestState& request, Milliseconds now, Actions& actions);

    Options options;
    Parts parts;
    ServerChooser chooser;
    Requests requests;
    AttemptNumber lastAttempt = 0;
};

}
