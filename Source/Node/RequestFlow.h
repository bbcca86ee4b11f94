#pragma once

#include "Base/Random.h"
#include "Measurement/ProbeManager.h"
#include "Metrics/DecisionCounters.h"
#include "Node/Actions.h"
#include "Node/CrashingRequestDetector.h"
#include "Node/Events.h"
#include "Node/HedgePlanner.h"
#include "Node/PathManager.h"
#include "Node/QuotaManager.h"
#include "Node/RequestRefuser.h"
#include "Node/RequestState.h"
#include "Node/RolloutManager.h"
#include "Node/ServerChooser.h"
#include "Node/ServerRateLimiter.h"
#include "Node/ServiceTable.h"
#include "Node/StoreSynchronizer.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace burlreach {

/**
 * Carries each request from its arrival to its final answer.
 *
 * On arrival a request is matched to a route. It is refused if the caller's key
 * is not valid, the request is known to crash servers, the data centre is
 * emptied, or the queue of its service is full. It then needs quota credit if
 * its customer is limited. A few backend servers are probed for their load, and
 * the request waits in the queue for a server with free capacity. A failed
 * attempt is retried and a slow one is hedged, as far as the route and the
 * retry budget allow. The caller gets the first complete answer, or a refusal. An answer that takes long behind its
 * header is passed on while it comes; from then on the request is neither retried nor hedged.
 *
 * A run-once request is sent again only after proof that it did not run, and
 * the caller is told "not run" only with such proof. A request that cannot
 * succeed any more is refused at once rather than kept until its deadline.
 */
class RequestFlow {
public:
    struct Options {
        std::string dataCentre;
        bool probes = true;
        HedgePlanner::Options hedging;
        bool inTimeFirst = true; // queue requests that can still meet their target ahead of late ones
        ServerSearch::Options search; // its dataCentre is filled in from the field above
        double maxWaitShare = 0.22; // fraction of the target latency that a request may wait for a free server
    };

    /** Collaborators; all must outlive this object. */
    struct Dependencies {
        ServiceTable* services = nullptr;
        ProbeManager* probes = nullptr;
        Random* random = nullptr;
        DecisionCounters* counters = nullptr;
        const StoreSynchronizer* store = nullptr;
        CrashingRequestDetector* crashes = nullptr;
        QuotaManager* quotas = nullptr;
        RolloutManager* rollouts = nullptr;
        ServerRateLimiter* limits = nullptr;
        PathManager* paths = nullptr;
    };

    RequestFlow(Options options, Dependencies parts);

    void arrived(const RequestArrived& event, Milliseconds now, Actions& actions);
    void callerGone(const CallerGone& event, Milliseconds now, Actions& actions);
    /** A part of an answer has come: its caller gets it while the rest comes, unless the request may be tried again. */
    void answerBegun(const AnswerBegun& event, Milliseconds now, Actions& actions);
    /** Returns the server that the attempt was sent to, or null when the request or the attempt is no longer open. */
    std::shared_ptr<BackendServerState> attemptEnded(const AttemptEnded& event, Milliseconds now, Actions& actions);
    /** A load report of this backend server has arrived, or its probe has failed. */
    void loadReportArrived(const BackendServerState& server, Milliseconds now, Actions& actions);
    /** Continues requests whose quota credit has been granted or refused. */
    void creditDecided(Milliseconds now, Actions& actions);
    /** The path to this server is lost: requests that may be repeated need not wait for its answer any longer. */
    void pathLost(const std::string& backendServer, Milliseconds now);
    /** Backend servers were added or have free capacity again: sends what is queued. */
    void capacityChanged(Milliseconds now, Actions& actions);
    /**
     * From now on requests that may outlast this process are refused as not run, so that their callers try another
     * instance instead of losing the answer (docs/design/planned-stops.md).
     */
    void beginStop(const StopTimes& times, Milliseconds now, Actions& actions);
    void tick(Milliseconds now, Actions& actions);
    /** The time at which tick() must be called next. */
    Milliseconds nextDue(Milliseconds now) const;
    std::size_t openRequests() const { return this->requests.size(); }

private:
    using Requests = std::unordered_map<RequestNumber, RequestState>;

    RequestState& open(const RequestArrived& event, std::shared_ptr<const Route> route, Milliseconds now);
    /** Checks the caller's key again if the routing configuration has changed since the last check. */
    std::optional<RefusalReason> checkKey(RequestState& request) const;
    /** The reason why the request must not be sent now, independent of which servers are available. */
    std::optional<RefusalReason> reasonNotToSend(RequestState& request, Milliseconds now) const;
    bool mayOutlastStop(const RequestState& request, Milliseconds now) const;
    void handleCreditDecision(
        RequestState& request, const CreditDecision& decision, Milliseconds now, Actions& actions);
    /** Starts the search for a server, once quota credit has been granted. */
    void startSearch(RequestState& request, Milliseconds now, Actions& actions);
    void classifyCaller(RequestState& request) const;
    void enqueue(RequestState& request, Milliseconds now, Actions& actions);
    void dispatchQueue(ServiceState& service, Milliseconds now, Actions& actions);
    void send(RequestState& request, std::shared_ptr<BackendServerState> server, Milliseconds now, Actions& actions);

    void recordResult(
        RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now, Actions& actions) const;
    void retryOrFinish(RequestState& request, const AttemptEnded& event, Milliseconds now, Actions& actions);
    bool tryRetry(RequestState& request, const AttemptEnd& end, Milliseconds now, Actions& actions);
    void hedge(RequestState& request, Milliseconds now, Actions& actions);
    void checkSilentPaths(RequestState& request, Milliseconds now, Actions& actions) const;
    /** Counts a hedge that has answered before the attempt that it was sent beside. */
    void noteOvertaken(const RequestState& request, AttemptNumber winner, Milliseconds now) const;
    void passAnswer(
        RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now, Actions& actions);
    void refuse(RequestState& request, RefusalReason reason, Milliseconds now, Actions& actions);
    void timedOut(RequestState& request, Milliseconds now, Actions& actions);
    /** Cancels all attempts in flight but this one. */
    void cancelOthers(RequestState& request, AttemptNumber kept, Milliseconds now, Actions& actions) const;
    void close(RequestState& request, Milliseconds now, Actions& actions);
    void tickRequest(RequestState& request, Milliseconds now, Actions& actions);

    Options options;
    Dependencies dependencies;
    ServerChooser chooser;
    HedgePlanner hedges;
    RequestRefuser refuser;
    Requests requests;
    AttemptNumber lastAttempt = 0;
    StopTimes stop;
};

}
