#pragma once

#include "Base/Random.h"
#include "Metrics/DecisionCounters.h"
#include "Node/Actions.h"
#include "Node/Events.h"
#include "Node/LoadExchange.h"
#include "Node/RequestState.h"
#include "Node/ServiceTable.h"
#include "Ownership/ClaimClient.h"
#include "Ownership/ClaimLedger.h"

#include <string>
#include <unordered_map>

namespace burlreach {

/**
 * Takes each request from its arrival to its final answer: claim, wait, send,
 * retry, hedge, refuse.
 *
 * A run-once request is sent only after its claim was granted, and again only
 * after a proof that it did not run. "Not run" is said only while no attempt
 * may have run and nobody else can be granted the claim.
 */
class RequestFlow {
public:
    struct Options {
        std::string dataCentre;
        std::uint64_t incarnation = 0;
        Milliseconds claimPatience{ 1500 };
        Milliseconds grantValid{ 150000 }; // half of the time that claims are kept
        unsigned mostAttempts = 3;
        bool hedges = true;
        Milliseconds shortestHedge{ 2 };
    };

    /** The other parts that a request meets; all outlive this object. */
    struct Parts {
        ServiceTable* services = nullptr;
        LoadExchange* loads = nullptr;
        ClaimClient* claims = nullptr;
        const ClaimLedger* ledger = nullptr;
        Random* random = nullptr;
        DecisionCounters* counters = nullptr;
    };

    RequestFlow(Options options, Parts parts);

    void arrived(const RequestArrived& event, Milliseconds now, Actions& actions, Outbox& outbox);
    void callerGone(const CallerGone& event, Milliseconds now, Actions& actions, Outbox& outbox);
    /** True when the backend server gave a new sign of leaving. */
    bool attemptEnded(const AttemptEnded& event, Milliseconds now, Actions& actions, Outbox& outbox);
    void claimAnswered(const peers::ClaimAnswer& answer, Milliseconds now, Actions& actions, Outbox& outbox);
    void tick(Milliseconds now, Actions& actions, Outbox& outbox);
    std::size_t openRequests() const { return this->requests.size(); }

private:
    using Requests = std::unordered_map<RequestNumber, RequestState>;

    void startClaim(RequestState& request, const RequestArrived& event, Milliseconds now, Outbox& outbox);
    std::string issueRequestId(Milliseconds now);
    void admit(RequestState& request, Milliseconds now, Actions& actions, Outbox& outbox);
    void enqueue(RequestState& request, Milliseconds now, Actions& actions, Outbox& outbox);
    bool send(RequestState& request, std::shared_ptr<BackendServerState> server, Milliseconds now, Actions& actions,
        Outbox& outbox);
    bool learn(RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now) const;
    void decideAfter(
        RequestState& request, const AttemptEnded& event, Milliseconds now, Actions& actions, Outbox& outbox);
    bool mayTryAgain(const RequestState& request, AttemptResult result) const;
    bool tryAgain(RequestState& request, AttemptResult result, Milliseconds now, Actions& actions, Outbox& outbox);
    void pass(RequestState& request, AttemptNumber attempt, Milliseconds now, Actions& actions);
    void refuse(RequestState& request, RefusalReason reason, Milliseconds now, Actions& actions, Outbox& outbox);
    void refuseAs(
        RequestState& request, RefusedOutcome outcome, RefusalReason reason, Milliseconds now, Actions& actions);
    RefusedOutcome outcomeOf(const RequestState& request) const;
    Milliseconds comeBackAfter(const RequestState& request, RefusalReason reason, Milliseconds now) const;
    void cancelFlights(RequestState& request, Milliseconds now, Actions& actions);
    void pump(ServiceState& service, Milliseconds now, Actions& actions, Outbox& outbox);
    void tickRequest(RequestState& request, Milliseconds now, Actions& actions, Outbox& outbox);
    void hedge(RequestState& request, Milliseconds now, Actions& actions, Outbox& outbox);

    Options options;
    Parts parts;
    Requests requests;
    AttemptNumber lastAttempt = 0;
    std::uint64_t lastIssued = 0;
};

}
