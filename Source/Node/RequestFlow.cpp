#include "Node/RequestFlow.h"

#include "Node/QueuePosition.h"
#include "Node/RefusalRules.h"
#include "Node/RequestRecords.h"

#include <algorithm>
#include <array>
#include <utility>

namespace burlreach {

namespace {

/** A request without an answer for this many times its usual duration may have no path to the server. */
constexpr double SilenceFactor = 2;
constexpr Milliseconds MinSilence{ 300 };

/**
 * At the beginning of a planned stop a request that may be repeated is sent if this many times its usual duration is
 * left: its caller tries again in the rare case that the process ends first. The outcome of a run-once request would
 * stay unknown.
 */
constexpr double LikelyEndFactor = 4;
/** Any request is sent if this many times the longest recent time of its route is left. */
constexpr double LongestTimeFactor = 2;

/** Time for the answer to a permit request, and for the next look at the queue (QueueCheckInterval). */
constexpr Milliseconds PermitMargin{ 20 };

/** Another instance may still relay the request to the same server, so this one does not count as tried. */
void recordNotRun(RequestState& request, const Flight& flight, const AttemptEnd& end)
{
    --request.history.mayHaveRun;
    if (!isRelayFailure(end.connect)) {
        ++request.history.provedNotRun;
        return;
    }
    ++request.history.relayFailures;
    std::erase(request.tried, flight.server);
}

}

RequestFlow::RequestFlow(Options givenOptions, Dependencies givenParts)
    : options(std::move(givenOptions))
    , dependencies(givenParts)
    , chooser(
          { .dataCentre = this->options.dataCentre, .probes = this->options.probes, .search = this->options.search },
          { .probes = givenParts.probes,
              .random = givenParts.random,
              .counters = givenParts.counters,
              .paths = givenParts.paths })
    , hedges(this->options.hedging,
          { .chooser = &this->chooser, .crashes = givenParts.crashes, .counters = givenParts.counters })
    , refuser({ .services = givenParts.services,
          .random = givenParts.random,
          .counters = givenParts.counters,
          .crashes = givenParts.crashes,
          .paths = givenParts.paths })
{
}

void RequestFlow::arrived(const RequestArrived& event, Milliseconds now, Actions& actions)
{
    this->dependencies.counters->add(DecisionCount::RequestsArrived);
    // Until the store has been read in full, a single change received by gossip may be all that is known, and others
    // may be missing, for example that a data centre is emptied.
    if (!this->dependencies.services->isConfigured() || !this->dependencies.store->view().revision())
        return this->refuser.refuseUnrouted(event, RefusalReason::NotReady, actions);
    auto route = this->dependencies.services->route(event.host, event.method, event.path);
    if (!route)
        return this->refuser.refuseUnrouted(event, RefusalReason::NoRoute, actions);
    RequestState& request = this->open(event, std::move(route), now);
    if (const auto reason = this->checkKey(request))
        return this->refuse(request, *reason, now, actions);
    if (!request.service)
        return this->refuse(request, RefusalReason::NoBackendServer, now, actions);
    if (request.service->pool.isEmptied())
        return this->refuse(request, RefusalReason::DataCentreEmptied, now, actions);
    if (const auto reason = this->reasonNotToSend(request, now))
        return this->refuse(request, *reason, now, actions);
    if (request.service->queue.size() >= request.service->description.queueLength)
        return this->refuse(request, RefusalReason::QueueFull, now, actions);
    request.service->retryBudget.firstAttempt(now);
    this->classifyCaller(request);
    this->handleCreditDecision(request, this->dependencies.quotas->requestCredit(request, now), now, actions);
    this->dependencies.quotas->askForCredit(now, actions);
    this->creditDecided(now, actions);
}

std::optional<RefusalReason> RequestFlow::checkKey(RequestState& request) const
{
    const std::uint64_t present = this->dependencies.services->routingGeneration();
    if (request.identity.configurationNumber != present) {
        request.identity = CustomerAuthenticator::identify(
            this->dependencies.services->customers(), *request.route, request.credential);
        request.identity.configurationNumber = present;
    }
    return request.identity.problem;
}

std::optional<RefusalReason> RequestFlow::reasonNotToSend(RequestState& request, Milliseconds now) const
{
    if (const auto reason = this->checkKey(request))
        return reason;
    if (this->mayOutlastStop(request, now))
        return RefusalReason::Stopping;
    if (this->dependencies.crashes->isRefused(request, now))
        return RefusalReason::CrashesBackendServers;
    if (!this->dependencies.quotas->ensureCredit(request, now))
        return RefusalReason::QuotaUnconfirmed;
    if (this->dependencies.paths->isUnreachable(*request.service, now))
        return RefusalReason::NoPath;
    return std::nullopt;
}

bool RequestFlow::mayOutlastStop(const RequestState& request, Milliseconds now) const
{
    if (request.deadline <= this->stop.answersDue)
        return false;
    const auto longest = request.service->longestTime(*request.route, now);
    if (longest && now + *longest * LongestTimeFactor <= this->stop.answersDue)
        return false;
    const Milliseconds probableEnd = now + request.service->expectedTime(*request.route) * LikelyEndFactor;
    const bool isLikelyToEnd = now < this->stop.noticedBy && probableEnd <= this->stop.answersDue;
    return !isLikelyToEnd || request.route->repeat != Repeat::MayRepeat;
}

void RequestFlow::handleCreditDecision(
    RequestState& request, const CreditDecision& decision, Milliseconds now, Actions& actions)
{
    switch (decision.outcome) {
    case CreditDecision::Outcome::Granted:
        return this->startSearch(request, now, actions);
    case CreditDecision::Outcome::Awaited:
        request.phase = RequestPhase::AwaitingCredit;
        return;
    case CreditDecision::Outcome::Exhausted:
        request.retryAfter = decision.retryAfter;
        return this->refuse(request, RefusalReason::QuotaExceeded, now, actions);
    case CreditDecision::Outcome::Unconfirmed:
        request.retryAfter = decision.retryAfter;
        return this->refuse(request, RefusalReason::QuotaUnconfirmed, now, actions);
    }
}

void RequestFlow::creditDecided(Milliseconds now, Actions& actions)
{
    for (const CreditManager::DecidedRequest& item : this->dependencies.quotas->takeSettled()) {
        const auto found = this->requests.find(item.request);
        if (found == this->requests.end())
            continue;
        RequestState& request = found->second;
        request.phase = RequestPhase::Waiting;
        if (item.decision.outcome == CreditDecision::Outcome::Granted)
            request.creditGrantedAt = item.decision.grantedAt;
        if (const auto reason = this->reasonNotToSend(request, now))
            this->refuse(request, *reason, now, actions);
        else
            this->handleCreditDecision(request, item.decision, now, actions);
    }
}

void RequestFlow::startSearch(RequestState& request, Milliseconds now, Actions& actions)
{
    request.wantsTarget = this->dependencies.rollouts->selectTarget(*request.service);
    this->dependencies.limits->requestStarted(*request.service, now, actions);
    if (this->chooser.startSearch(request, now, actions))
        request.phase = RequestPhase::Probing;
    else
        this->enqueue(request, now, actions);
}

void RequestFlow::classifyCaller(RequestState& request) const
{
    ServiceState& service = *request.service;
    service.latePromotions.countArrival();
    if (!request.timeLeft || !this->options.inTimeFirst)
        return;
    request.spentBefore = service.estimateTimeSpent(*request.route, *request.timeLeft);
    if (!isLateCaller(request.spentBefore, service.expectedTime(*request.route), request.route->targetLatency))
        return;
    this->dependencies.counters->add(DecisionCount::LateCallers);
    // A small share of late requests is queued as if in time, so that none starve during a long overload.
    request.isLate = !service.latePromotions.take();
}

RequestState& RequestFlow::open(const RequestArrived& event, std::shared_ptr<const Route> route, Milliseconds now)
{
    RequestState& request = this->requests[event.request];
    request.number = event.request;
    request.requestId = event.requestId;
    request.digest = event.digest;
    request.path = event.path;
    request.caller = event.caller;
    request.credential = event.credential;
    request.timeLeft = event.timeLeft;
    request.service = this->dependencies.services->chooseService(*route);
    request.arrivedAt = now;
    request.deadline = now + std::min(event.timeLeft.value_or(Never), route->timeout);
    request.waitUntil = now + route->targetLatency * this->options.maxWaitShare;
    request.route = std::move(route);
    return request;
}

void RequestFlow::loadReportArrived(const BackendServerState& server, Milliseconds now, Actions& actions)
{
    std::vector<RequestNumber> ready;
    std::vector<std::shared_ptr<ServiceState>> waiting;
    for (auto& [number, request] : this->requests) {
        if (!this->chooser.isEnough(request, server, now))
            continue;
        if (request.phase == RequestPhase::Probing)
            ready.push_back(number);
        else if (request.phase == RequestPhase::Waiting)
            waiting.push_back(request.service);
    }
    std::sort(ready.begin(), ready.end());
    for (const RequestNumber number : ready) {
        const auto found = this->requests.find(number);
        if (found != this->requests.end() && found->second.phase == RequestPhase::Probing)
            this->enqueue(found->second, now, actions);
    }
    for (const auto& service : waiting)
        this->dispatchQueue(*service, now, actions);
}

void RequestFlow::enqueue(RequestState& request, Milliseconds now, Actions& actions)
{
    request.phase = RequestPhase::Waiting;
    request.search.awaitedServers.clear();
    const std::shared_ptr<ServiceState> service = request.service;
    pushToQueue(request);
    this->dispatchQueue(*service, now, actions);
}

void RequestFlow::dispatchQueue(ServiceState& service, Milliseconds now, Actions& actions)
{
    std::vector<const RequestState*> held;
    while (const auto number = service.queue.pop()) {
        const auto found = this->requests.find(*number);
        if (found == this->requests.end())
            continue;
        RequestState& request = found->second;
        // The deadline may have passed while this process was suspended; a server's work would be wasted.
        if (now >= request.deadline) {
            this->refuse(request, RefusalReason::DeadlinePassedWaiting, now, actions);
            continue;
        }
        // Keys, quotas and known crashes may have changed while the request was queued.
        if (const auto reason = this->reasonNotToSend(request, now)) {
            this->refuse(request, *reason, now, actions);
            continue;
        }
        ServerChoice choice = this->chooser.chooseOrProbe(request, now, actions);
        // A permit that begins as the request's time ends would be granted in vain.
        const Milliseconds patience = request.waitUntil - now - PermitMargin;
        if (!choice.server && this->dependencies.limits->requestQueued(service, patience, now, actions))
            choice = this->chooser.chooseOrProbe(request, now, actions);
        if (choice.server) {
            this->send(request, std::move(choice.server), now, actions);
            continue;
        }
        if (const auto reason = immediateRefusal(request, choice.reason, now)) {
            this->refuse(request, *reason, now, actions);
            continue;
        }
        held.push_back(&request);
        // Slow and NoRecentReport depend on the time left: another request may still be answered in time. With any
        // other reason the rest of the queue cannot be sent either.
        if (choice.reason != NoServerReason::Slow && choice.reason != NoServerReason::NoRecentReport)
            break;
    }
    for (auto item = held.rbegin(); item != held.rend(); ++item)
        pushToQueueFront(**item);
}

void RequestFlow::send(
    RequestState& request, std::shared_ptr<BackendServerState> server, Milliseconds now, Actions& actions)
{
    const AttemptNumber attempt = ++this->lastAttempt;
    if (!request.attempts++) {
        this->dependencies.counters->add(DecisionCount::FirstAttempts);
        this->dependencies.services->recordSent(*request.route, request.service->description.name);
    }
    ++request.history.mayHaveRun;
    this->dependencies.crashes->sent(request, now);
    request.phase = RequestPhase::Sending;
    this->hedges.attemptSent(request, now);
    request.silentAt = now + std::max(MinSilence, request.service->expectedTime(*request.route) * SilenceFactor);
    const std::optional<NetworkAddress> relay = this->dependencies.paths->relayFor(*server, now);
    actions.emplace_back(recordOfSent(request, *server,
        { .version = this->dependencies.services->version(), .confirmedAt = this->dependencies.store->confirmedAt() },
        now));
    const bool isUnhindered = server->isReportedIdle(now);
    const double taken = server->report().requestsFromOthers + static_cast<double>(server->inFlight());
    const bool hadRoom = taken < static_cast<double>(server->slots());
    request.service->pool.sent(*server, *this->dependencies.random, now);
    server->sent(attempt, now);
    actions.emplace_back(SendAttempt{ .request = request.number,
        .attempt = attempt,
        .backendServer = server->id(),
        .life = server->record().life,
        .address = server->record().address,
        .timeLeft = request.deadline - now,
        .mayRepeat = request.route->repeat == Repeat::MayRepeat,
        .withholdsKey = request.identity.withholdsKey,
        .customer = request.identity.customer,
        .relay = relay });
    request.tried.push_back(server);
    request.flights.push_back({ .attempt = attempt,
        .server = std::move(server),
        .sentAt = now,
        .isUnhindered = isUnhindered,
        .hadRoom = hadRoom,
        .relay = relay });
    this->dependencies.paths->attemptSent(request.flights.back());
}

void RequestFlow::answerBegun(const AnswerBegun& event, Milliseconds now, Actions& actions)
{
    const auto found = this->requests.find(event.request);
    if (found == this->requests.end() || found->second.phase != RequestPhase::Sending)
        return;
    RequestState& request = found->second;
    const auto isThis = [&](const Flight& item) { return item.attempt == event.attempt; };
    if (event.end.result != AttemptResult::Answered
        || std::none_of(request.flights.begin(), request.flights.end(), isThis))
        return;
    this->noteOvertaken(request, event.attempt, now);
    this->cancelOthers(request, event.attempt, now, actions);
    Flight& flight = request.flights.front();
    flight.answerBeganAt = now;
    flight.server->answerBegan(flight.attempt, now);
    request.phase = RequestPhase::Answering;
    this->dependencies.counters->add(DecisionCount::AnswersBegun);
    actions.emplace_back(recordOfAnswerBegun(request, flight, event.end, now));
    actions.emplace_back(BeginAnswer{ .request = request.number, .attempt = flight.attempt });
}

std::shared_ptr<BackendServerState> RequestFlow::attemptEnded(
    const AttemptEnded& event, Milliseconds now, Actions& actions)
{
    const auto found = this->requests.find(event.request);
    if (found == this->requests.end())
        return nullptr;
    RequestState& request = found->second;
    const auto flight = std::find_if(request.flights.begin(), request.flights.end(),
        [&](const Flight& item) { return item.attempt == event.attempt; });
    if (flight == request.flights.end())
        return nullptr;
    const Flight ended = *flight;
    request.flights.erase(flight);
    const std::shared_ptr<ServiceState> service = request.service;
    this->recordResult(request, ended, event.end, now, actions);
    if (event.end.result == AttemptResult::Answered)
        this->passAnswer(request, ended, event.end, now, actions);
    else
        this->retryOrFinish(request, event, now, actions);
    this->dispatchQueue(*service, now, actions);
    return ended.server;
}

void RequestFlow::recordResult(
    RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now, Actions& actions) const
{
    BackendServerState& server = *flight.server;
    const bool isPathFailure = this->dependencies.paths->isPathFailure(flight, end);
    const AttemptEnd asCancelled{ .result = AttemptResult::Cancelled };
    const AttemptEnd& ofServer = isPathFailure ? asCancelled : end;
    this->dependencies.paths->attemptEnded(flight, end, now, actions);
    this->dependencies.rollouts->answered(request, flight, ofServer, now);
    request.service->pool.learn(
        server.ended(flight.attempt, ofServer, request.service->expectedTime(*request.route), now));
    if (isProvedNotRun(end.result))
        recordNotRun(request, flight, end);
    else
        request.service->addAttemptTime(*request.route, now - flight.sentAt, now);
    if (end.result == AttemptResult::Answered) {
        this->dependencies.limits->answered(server, flight.sentAt, now, actions);
        request.service->addResponseTime(*request.route, flight.answerTime(now));
        if (flight.isUnhindered)
            request.service->addUnloadedTime(*request.route, flight.answerTime(now));
        return;
    }
    if (end.result == AttemptResult::Broken && !end.hasRelayEnded)
        this->dependencies.crashes->connectionBroke(request, server, now, actions);
    actions.emplace_back(recordOfFailed(request, flight, end, now));
    if (isPathFailure || !request.service->pool.checkOutlier(server, now))
        return;
    this->dependencies.counters->add(DecisionCount::Ejections);
    actions.emplace_back(knowledgeRecord("backend_server_ejected", server.id())
                             .with("service", request.service->description.name)
                             .with("ejections", std::uint64_t{ server.ejections() })
                             .with("failure_share", server.failureShare(now)));
}

void RequestFlow::retryOrFinish(RequestState& request, const AttemptEnded& event, Milliseconds now, Actions& actions)
{
    // Another attempt may still succeed. It may also never be answered, so a new hedge is allowed.
    if (!request.flights.empty())
        return this->hedges.attemptFailed(request, now);
    // Nothing can follow an answer of which the caller has a part.
    if (request.phase == RequestPhase::Answering)
        return this->refuse(request, RefusalReason::AnswerBroken, now, actions);
    if (this->tryRetry(request, event.end, now, actions))
        return;
    if (event.end.result != AttemptResult::ErrorAnswer || !mayPassErrorAnswer(*request.route, event.end))
        return this->refuse(request, refusalAfterAttempt(event.end.result), now, actions);
    this->dependencies.counters->add(DecisionCount::Answered);
    actions.emplace_back(ForwardAnswer{ .request = request.number, .attempt = event.attempt });
    this->close(request, now, actions);
}

bool RequestFlow::tryRetry(RequestState& request, const AttemptEnd& end, Milliseconds now, Actions& actions)
{
    if (now >= request.deadline || !mayTryAgain(*request.route, request.history, end.result))
        return false;
    // A retry could crash another server with a request that no server can answer, or the request may no longer be
    // sent, for example because its key was revoked.
    if (this->dependencies.crashes->mayBeCrashing(request) || this->reasonNotToSend(request, now)) {
        this->dependencies.counters->add(DecisionCount::RetriesWithheld);
        actions.emplace_back(recordOfRequest(RecordTopic::Refusal, "retry_withheld", request));
        return false;
    }
    ServerChoice choice = this->chooser.chooseForRetry(request, now);
    request.waitUntil = std::max(request.waitUntil, now + request.route->targetLatency * this->options.maxWaitShare);
    if (choice.reason == NoServerReason::NoneAvailable
        || (!choice.server && immediateRefusal(request, choice.reason, now)))
        return false;
    if (needsBudget(end.result) && !request.service->retryBudget.take(now)) {
        this->dependencies.counters->add(DecisionCount::RetriesDenied);
        actions.emplace_back(recordOfRetryDenied(request, now));
        return false;
    }
    this->dependencies.counters->add(retryReasonOf(end.result));
    if (choice.server) {
        this->send(request, std::move(choice.server), now, actions);
        return true;
    }
    request.phase = RequestPhase::Waiting;
    pushToQueueFront(request);
    return true;
}

void RequestFlow::hedge(RequestState& request, Milliseconds now, Actions& actions)
{
    request.hedgeAt = Never;
    if (this->checkKey(request))
        return;
    if (auto server = this->hedges.chooseServer(request, now))
        this->send(request, std::move(server), now, actions);
}

void RequestFlow::noteOvertaken(const RequestState& request, AttemptNumber winner, Milliseconds now) const
{
    if (request.flights.empty() || winner <= request.flights.front().attempt)
        return;
    this->dependencies.counters->add(DecisionCount::HedgesWon);
    this->dependencies.rollouts->overtaken(request, request.flights.front(), now);
}

void RequestFlow::passAnswer(
    RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now, Actions& actions)
{
    this->dependencies.counters->add(DecisionCount::Answered);
    this->dependencies.crashes->answered(request, now, actions);
    this->noteOvertaken(request, flight.attempt, now);
    actions.emplace_back(recordOfAnswered(request, flight, end, now));
    actions.emplace_back(ForwardAnswer{ .request = request.number, .attempt = flight.attempt });
    this->close(request, now, actions);
}

void RequestFlow::refuse(RequestState& request, RefusalReason reason, Milliseconds now, Actions& actions)
{
    if (request.phase == RequestPhase::Answering)
        this->dependencies.counters->add(DecisionCount::AnswersBrokenOff);
    this->refuser.refuse(request, reason, now, actions);
    this->close(request, now, actions);
}

void RequestFlow::cancelOthers(RequestState& request, AttemptNumber kept, Milliseconds now, Actions& actions) const
{
    const AttemptEnd cancelled{ .result = AttemptResult::Cancelled };
    for (const Flight& flight : request.flights) {
        if (flight.attempt == kept)
            continue;
        flight.server->ended(flight.attempt, cancelled, {}, now);
        this->dependencies.paths->attemptEnded(flight, cancelled, now, actions);
        actions.emplace_back(CancelAttempt{ .request = request.number, .attempt = flight.attempt });
    }
    std::erase_if(request.flights, [kept](const Flight& flight) { return flight.attempt != kept; });
}

void RequestFlow::close(RequestState& request, Milliseconds now, Actions& actions)
{
    constexpr AttemptNumber none = 0;
    this->cancelOthers(request, none, now, actions);
    if (request.service && request.phase == RequestPhase::Waiting)
        request.service->queue.remove(request.number);
    this->dependencies.quotas->requestEnded(request, now);
    this->requests.erase(request.number);
}

void RequestFlow::callerGone(const CallerGone& event, Milliseconds now, Actions& actions)
{
    const auto found = this->requests.find(event.request);
    if (found == this->requests.end())
        return;
    this->dependencies.counters->add(DecisionCount::CallersGone);
    actions.emplace_back(recordOfRequest(RecordTopic::Request, "caller_gone", found->second)
                             .with("attempts", std::uint64_t{ found->second.attempts })
                             .with("took", (now - found->second.arrivedAt).count));
    const std::shared_ptr<ServiceState> service = found->second.service;
    this->close(found->second, now, actions);
    this->dispatchQueue(*service, now, actions);
}

void RequestFlow::timedOut(RequestState& request, Milliseconds now, Actions& actions)
{
    // The servers did not answer before the deadline, so the time-out counts against them as well.
    const AttemptEnd late{ .result = AttemptResult::TimedOut };
    const std::vector<Flight> flights = request.flights;
    for (const Flight& flight : flights)
        this->recordResult(request, flight, late, now, actions);
    this->refuse(request, RefusalReason::DeadlinePassedSending, now, actions);
}

void RequestFlow::tickRequest(RequestState& request, Milliseconds now, Actions& actions)
{
    const bool isLate = now >= request.deadline;
    switch (request.phase) {
    case RequestPhase::AwaitingCredit:
        return this->refuse(request, RefusalReason::DeadlinePassedWaiting, now, actions);
    case RequestPhase::Probing:
        this->enqueue(request, now, actions);
        return;
    case RequestPhase::Waiting:
        if (isLate)
            return this->refuse(request, RefusalReason::DeadlinePassedWaiting, now, actions);
        if (const auto reason = this->reasonNotToSend(request, now))
            return this->refuse(request, *reason, now, actions);
        if (auto server = this->chooser.chooseAtEndOfWait(request, now)) {
            request.service->queue.remove(request.number);
            this->dependencies.counters->add(lastChoiceCountOf(*request.heldBy));
            this->send(request, std::move(server), now, actions);
            request.heldBy.reset(); // not the reason of later attempts
            return;
        }
        return this->refuse(request, refusalAfterWaiting(request), now, actions);
    case RequestPhase::Answering:
        if (isLate)
            this->timedOut(request, now, actions);
        return;
    case RequestPhase::Sending:
        if (isLate)
            return this->timedOut(request, now, actions);
        if (now >= request.silentAt)
            this->checkSilentPaths(request, now, actions);
        if (now >= request.hedgeAt)
            this->hedge(request, now, actions);
        return;
    }
}

void RequestFlow::checkSilentPaths(RequestState& request, Milliseconds now, Actions& actions) const
{
    request.silentAt = Never;
    for (const Flight& flight : request.flights)
        this->dependencies.paths->attemptSilent(flight, now, actions);
}

void RequestFlow::pathLost(const std::string& backendServer, Milliseconds now)
{
    for (auto& [number, request] : this->requests) {
        const bool isWaiting = std::any_of(request.flights.begin(), request.flights.end(),
            [&](const Flight& flight) { return !flight.relay && flight.server->id() == backendServer; });
        if (isWaiting && mayHedge(*request.route, request.history))
            request.hedgeAt = now;
    }
}

void RequestFlow::beginStop(const StopTimes& times, Milliseconds now, Actions& actions)
{
    this->stop = times;
    std::vector<RequestNumber> unsent;
    for (const auto& [number, request] : this->requests) {
        if (request.phase != RequestPhase::Sending && this->mayOutlastStop(request, now))
            unsent.push_back(number);
    }
    std::sort(unsent.begin(), unsent.end());
    for (const RequestNumber number : unsent)
        this->refuse(this->requests.at(number), RefusalReason::Stopping, now, actions);
}

void RequestFlow::capacityChanged(Milliseconds now, Actions& actions)
{
    for (const auto& service : this->dependencies.services->all())
        this->dispatchQueue(*service, now, actions);
}

void RequestFlow::tick(Milliseconds now, Actions& actions)
{
    this->dependencies.quotas->tick(now);
    this->dependencies.quotas->askForCredit(now, actions);
    this->creditDecided(now, actions);
    this->capacityChanged(now, actions);
    std::vector<RequestNumber> due;
    for (const auto& [number, request] : this->requests) {
        if (now >= request.nextDue())
            due.push_back(number);
    }
    std::sort(due.begin(), due.end());
    for (const RequestNumber number : due) {
        const auto found = this->requests.find(number);
        if (found != this->requests.end() && now >= found->second.nextDue())
            this->tickRequest(found->second, now, actions);
    }
}

Milliseconds RequestFlow::nextDue(Milliseconds now) const
{
    Milliseconds due = this->dependencies.quotas->nextDue();
    bool anyWaits = false;
    for (const auto& [number, request] : this->requests) {
        due = std::min(due, request.nextDue());
        anyWaits = anyWaits || request.phase == RequestPhase::Waiting;
    }
    return anyWaits ? std::min(due, now + QueueCheckInterval) : due;
}

}
