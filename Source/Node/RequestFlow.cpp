#include "Node/RequestFlow.h"

#include "Admission/ComeBackTime.h"
#include "Node/RefusalRules.h"
#include "Node/RequestRecords.h"
#include "Routing/LoadAwarePolicy.h"

#include <algorithm>
#include <array>
#include <utility>

namespace burlreach {

namespace {

/** While backend servers rest after refusals, the queue is looked at this often. */
constexpr Milliseconds PumpInterval{ 10 };
/**
 * Requests of callers that are late already go only to servers with less than
 * this share of their limit taken. So under overload those that can still be in
 * time go first, at all instances without a word between them. Share in time
 * with it and without: 0.56 and 0.42 in a rush, 0.35 and 0.20 at 1.5 times the
 * load that the servers can bear (Benchmarks, crowded-rush, crowded-overload).
 */
constexpr double LimitOfLate = 0.6;
/**
 * A hedge goes only to a server with this share of its limit taken or less:
 * where all are busy it would take the place of a first try. Share in time with
 * it and without: 0.59 and 0.56 in a rush, 0.70 and 0.69 with four of ten
 * servers lost (Benchmarks, crowded-rush and crowded-loss).
 */
constexpr double LimitOfHedge = 0.6;
/** Between two looks at a silent request: a timer each is cheap, also where answers take less than a millisecond. */
constexpr Milliseconds ShortestHedgeInterval{ 20 };

}

RequestFlow::RequestFlow(Options givenOptions, Parts givenParts)
    : options(std::move(givenOptions))
    , parts(givenParts)
    , search(this->options.search,
          { .probes = givenParts.probes, .random = givenParts.random, .counters = givenParts.counters })
{
}

RoutingContext RequestFlow::contextOf(const RequestState& request, Milliseconds now) const
{
    return {
        .now = now, .dataCentre = this->options.dataCentre, .expected = request.service->expectedTime(*request.route)
    };
}

std::uint32_t RequestFlow::placeOf(const RequestState& request)
{
    // A late one at the front must not hold up those that may take more.
    return request.route->rank * 2 + (request.isLate ? 1 : 0);
}

ChoiceWish RequestFlow::wishOf(const RequestState& request, Milliseconds now) const
{
    return { .tried = request.tried,
        .mayTry = request.route->repeat == Repeat::MayRepeat,
        .longestWork = this->search.longestWork(request.search, now),
        .limitShare = request.isLate ? LimitOfLate : 1 };
}

void RequestFlow::arrived(const RequestArrived& event, Milliseconds now, Actions& actions)
{
    this->parts.counters->add(DecisionCount::RequestsArrived);
    // A change that was told by itself may lack others, such as that a data centre is emptied.
    if (!this->parts.services->isConfigured() || !this->parts.store->view().revision())
        return this->refuseUnrouted(event, RefusalReason::NotReady, actions);
    auto route = this->parts.services->route(event.host, event.method, event.path);
    if (!route)
        return this->refuseUnrouted(event, RefusalReason::NoRoute, actions);
    RequestState& request = this->open(event, std::move(route), now);
    if (!request.service)
        return this->refuse(request, RefusalReason::NoBackendServer, now, actions);
    if (request.service->pool.isEmptied())
        return this->refuse(request, RefusalReason::DataCentreEmptied, now, actions);
    if (this->parts.crashes->isRefused(request, now))
        return this->refuse(request, RefusalReason::CrashesBackendServers, now, actions);
    if (request.service->queue.size() >= request.service->description.queueLength)
        return this->refuse(request, RefusalReason::QueueFull, now, actions);
    request.service->retryBudget.firstAttempt(now);
    this->judgeCaller(request, event);
    request.search = this->search.begin({ .target = request.route->targetLatency,
                                            .spent = request.spent,
                                            .usualTime = request.service->usualTime(*request.route) },
        now);
    if (this->options.probes && this->askForFigures(request, now, actions))
        request.phase = RequestPhase::Asking;
    else
        this->enqueue(request, now, actions);
}

void RequestFlow::judgeCaller(RequestState& request, const RequestArrived& event) const
{
    ServiceState& service = *request.service;
    service.lateAsFresh.arrived();
    if (!event.timeLeft || !this->options.freshFirst)
        return;
    request.spent = service.spentBefore(*request.route, *event.timeLeft);
    if (!isLateCaller(request.spent, service.expectedTime(*request.route), request.route->targetLatency))
        return;
    this->parts.counters->add(DecisionCount::LateCallers);
    // Some go with the others: nobody waits for ever, however long the overload lasts.
    request.isLate = !service.lateAsFresh.take();
}

void RequestFlow::refuseUnrouted(const RequestArrived& event, RefusalReason reason, Actions& actions) const
{
    this->parts.counters->add(reason);
    this->parts.counters->add(DecisionCount::RefusedNotRun);
    actions.emplace_back(recordOfUnrouted(event, reason, this->parts.services->version()));
    actions.emplace_back(RefuseRequest{ .request = event.request,
        .outcome = RefusedOutcome::NotRun,
        .reason = reason,
        .comeBackAfter = UsualComeBack });
}

RequestState& RequestFlow::open(const RequestArrived& event, std::shared_ptr<const Route> route, Milliseconds now)
{
    RequestState& request = this->requests[event.request];
    request.number = event.request;
    request.requestId = event.requestId;
    request.digest = event.digest;
    request.path = event.path;
    request.caller = event.caller;
    request.service = this->parts.services->serviceFor(*route);
    request.arrivedAt = now;
    request.deadline = now + std::min(event.timeLeft.value_or(Never), route->timeout);
    request.waitUntil = now + route->targetLatency * this->options.waitShare;
    request.route = std::move(route);
    return request;
}

bool RequestFlow::askForFigures(RequestState& request, Milliseconds now, Actions& actions) const
{
    std::vector<Probe> questions;
    const ServiceState& service = *request.service;
    const bool isAsking
        = this->search.ask(request.search, service.description, service.pool, this->contextOf(request, now), questions);
    for (Probe& question : questions)
        actions.emplace_back(SendProbe{ .probe = std::move(question) });
    return isAsking;
}

void RequestFlow::figuresCame(const BackendServerState& server, Milliseconds now, Actions& actions)
{
    std::vector<RequestNumber> ready;
    std::vector<std::shared_ptr<ServiceState>> waiting;
    for (auto& [number, request] : this->requests) {
        if (!this->search.isEnough(request.search, server, now))
            continue;
        if (request.phase == RequestPhase::Asking)
            ready.push_back(number);
        else if (request.phase == RequestPhase::Waiting)
            waiting.push_back(request.service);
    }
    std::sort(ready.begin(), ready.end());
    for (const RequestNumber number : ready) {
        const auto found = this->requests.find(number);
        if (found != this->requests.end() && found->second.phase == RequestPhase::Asking)
            this->enqueue(found->second, now, actions);
    }
    for (const auto& service : waiting)
        this->pump(*service, now, actions);
}

void RequestFlow::enqueue(RequestState& request, Milliseconds now, Actions& actions)
{
    request.phase = RequestPhase::Waiting;
    request.search.asked.clear();
    const std::shared_ptr<ServiceState> service = request.service;
    service->queue.push(placeOf(request), request.number);
    this->pump(*service, now, actions);
}

void RequestFlow::pump(ServiceState& service, Milliseconds now, Actions& actions)
{
    std::vector<RequestNumber> held;
    while (const auto number = service.queue.pop()) {
        const auto found = this->requests.find(*number);
        if (found == this->requests.end())
            continue;
        RequestState& request = found->second;
        // After a suspension its time may be long over: a server would work for nobody.
        if (now >= request.deadline) {
            this->refuse(request, RefusalReason::DeadlinePassedWaiting, now, actions);
            continue;
        }
        // It may have become known while the request waited.
        if (this->parts.crashes->isRefused(request, now)) {
            this->refuse(request, RefusalReason::CrashesBackendServers, now, actions);
            continue;
        }
        Choice choice = this->chooseOrAsk(request, now, actions);
        if (choice.server) {
            this->send(request, std::move(choice.server), now, actions);
            continue;
        }
        if (const auto reason = refusedAtOnce(request, choice.reason, now)) {
            this->refuse(request, *reason, now, actions);
            continue;
        }
        held.push_back(*number);
        // Another one may still be in time where this one would be late.
        if (choice.reason != NoChoice::Slow && choice.reason != NoChoice::Unheard)
            break;
    }
    for (auto number = held.rbegin(); number != held.rend(); ++number)
        service.queue.pushFront(placeOf(this->requests.at(*number)), *number);
}

Choice RequestFlow::chooseOrAsk(RequestState& request, Milliseconds now, Actions& actions)
{
    const RoutingContext context = this->contextOf(request, now);
    ServicePool& pool = request.service->pool;
    ChoiceWish wish = this->wishOf(request, now);
    wish.onlyHeard = this->options.probes && this->search.mayAsk(request.search, now);
    Choice choice = pool.choose(wish, context, *this->parts.random);
    const bool mayFindBetter = choice.reason == NoChoice::Slow || choice.reason == NoChoice::Unheard;
    if (choice.server || !mayFindBetter || this->holdBack(request, now, actions) || !wish.onlyHeard)
        return choice;
    wish.onlyHeard = false;
    return pool.choose(wish, context, *this->parts.random);
}

bool RequestFlow::holdBack(RequestState& request, Milliseconds now, Actions& actions) const
{
    // After the hold any server will do: it is sent rather than refused.
    request.waitUntil = std::max(request.waitUntil, request.search.holdUntil + PumpInterval * 2);
    const bool isAsking = !request.search.asked.empty() && now < request.search.askUntil;
    if (isAsking || !this->options.probes)
        return isAsking;
    request.search.asked.clear();
    return this->askForFigures(request, now, actions);
}

void RequestFlow::send(
    RequestState& request, std::shared_ptr<BackendServerState> server, Milliseconds now, Actions& actions)
{
    const AttemptNumber attempt = ++this->lastAttempt;
    if (!request.attempts++) {
        this->parts.counters->add(DecisionCount::FirstAttempts);
        this->parts.services->sent(*request.route, request.service->description.name);
    }
    ++request.history.mayHaveRun;
    this->parts.crashes->sent(request, now);
    request.phase = RequestPhase::Sending;
    const bool isHedged = this->options.hedges && !request.hedged && mayHedge(*request.route, request.history);
    request.hedgeAt = isHedged ? now + this->hedgePatience(request) : Never;
    actions.emplace_back(recordOfSent(request, *server,
        { .version = this->parts.services->version(), .confirmedAt = this->parts.store->confirmedAt() }, now));
    const bool isUnhindered = server->saidItIsWell(now);
    request.service->pool.sent(*server, *this->parts.random, now);
    server->sent(attempt, now);
    actions.emplace_back(SendAttempt{ .request = request.number,
        .attempt = attempt,
        .backendServer = server->id(),
        .life = server->record().life,
        .address = server->record().address,
        .timeLeft = request.deadline - now,
        .mayRepeat = request.route->repeat == Repeat::MayRepeat });
    request.tried.push_back(server);
    request.flights.push_back(
        { .attempt = attempt, .server = std::move(server), .sentAt = now, .isUnhindered = isUnhindered });
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
    this->learn(request, ended, event.end, now, actions);
    if (event.end.result == AttemptResult::Answered)
        this->pass(request, ended, event.end, now, actions);
    else
        this->decideAfter(request, event, now, actions);
    this->pump(*service, now, actions);
    return ended.server;
}

void RequestFlow::learn(
    RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now, Actions& actions) const
{
    BackendServerState& server = *flight.server;
    request.service->pool.learn(server.ended(flight.attempt, end, request.service->expectedTime(*request.route), now));
    if (isProvedNotRun(end.result)) {
        --request.history.mayHaveRun;
        ++request.history.provedNotRun;
    }
    if (end.result == AttemptResult::Answered) {
        request.service->answered(*request.route, now - flight.sentAt);
        if (flight.isUnhindered)
            request.service->answeredUnhindered(*request.route, now - flight.sentAt);
        return;
    }
    if (end.result == AttemptResult::Broken)
        this->parts.crashes->broke(request, server, now, actions);
    actions.emplace_back(recordOfFailed(request, flight, end, now));
    if (!request.service->pool.checkOutlier(server, now))
        return;
    this->parts.counters->add(DecisionCount::Ejections);
    actions.emplace_back(beliefOf("backend_server_ejected", server.id())
                             .with("service", request.service->description.name)
                             .with("ejections", std::uint64_t{ server.ejections() })
                             .with("failure_share", server.failureShare(now)));
}

bool RequestFlow::mayPass(const RequestState& request, const AttemptEnd& end) const
{
    // A status that promises "not run" without a proof would be untrue.
    return !end.isPromise || request.route->repeat == Repeat::MayRepeat;
}

void RequestFlow::decideAfter(RequestState& request, const AttemptEnded& event, Milliseconds now, Actions& actions)
{
    // Another attempt may still bring a good answer; while only one is left it may be silent for good.
    if (!request.flights.empty()) {
        request.hedged = false;
        request.hedgeAt = this->options.hedges ? now + this->hedgePatience(request) : Never;
        return;
    }
    if (this->tryAgain(request, event.end, now, actions))
        return;
    switch (event.end.result) {
    case AttemptResult::ErrorAnswer:
        if (!this->mayPass(request, event.end))
            return this->refuse(request, RefusalReason::AnswerBroken, now, actions);
        this->parts.counters->add(DecisionCount::Answered);
        actions.emplace_back(PassAnswer{ .request = request.number, .attempt = event.attempt });
        return this->close(request, now, actions);
    case AttemptResult::NotSent:
    case AttemptResult::RefusedNotRun:
    case AttemptResult::OtherServer:
        return this->refuse(request, RefusalReason::BackendServersRefused, now, actions);
    case AttemptResult::TimedOut:
        return this->refuse(request, RefusalReason::DeadlinePassedSending, now, actions);
    default:
        return this->refuse(request, RefusalReason::AnswerBroken, now, actions);
    }
}

bool RequestFlow::tryAgain(RequestState& request, const AttemptEnd& end, Milliseconds now, Actions& actions)
{
    if (now >= request.deadline || !mayTryAgain(*request.route, request.history, end.result))
        return false;
    // Another server would end for an answer that no other one could give.
    if (this->parts.crashes->mayHaveProof(request) || this->parts.crashes->isRefused(request, now)) {
        this->parts.counters->add(DecisionCount::RetriesWithheld);
        actions.emplace_back(recordOfRequest(RecordTopic::Refusal, "retry_withheld", request));
        return false;
    }
    Choice choice
        = request.service->pool.choose(this->wishOf(request, now), this->contextOf(request, now), *this->parts.random);
    request.waitUntil = std::max(request.waitUntil, now + request.route->targetLatency * this->options.waitShare);
    if (choice.reason == NoChoice::NobodyTakes || (!choice.server && refusedAtOnce(request, choice.reason, now)))
        return false;
    if (needsBudget(end.result) && !request.service->retryBudget.take(now)) {
        this->parts.counters->add(DecisionCount::RetriesDenied);
        actions.emplace_back(recordOfRequest(RecordTopic::Refusal, "retry_denied", request));
        return false;
    }
    this->parts.counters->add(retryReasonOf(end.result));
    if (choice.server) {
        this->send(request, std::move(choice.server), now, actions);
        return true;
    }
    request.phase = RequestPhase::Waiting;
    request.service->queue.pushFront(placeOf(request), request.number);
    return true;
}

Milliseconds RequestFlow::hedgePatience(const RequestState& request) const
{
    const Milliseconds usual = request.service->expectedTime(*request.route) * this->options.hedgeAfter;
    return std::min(usual, request.route->targetLatency * this->options.latestHedge);
}

void RequestFlow::hedge(RequestState& request, Milliseconds now, Actions& actions)
{
    request.hedgeAt = Never;
    if (!mayHedge(*request.route, request.history) || this->parts.crashes->isSuspect(request))
        return;
    // Without a server or budget now it is looked at again: its answer may never come, and nothing else would tell.
    request.hedgeAt = now + std::max(this->hedgePatience(request), ShortestHedgeInterval);
    Choice choice
        = request.service->pool.choose({ .tried = request.tried,
                                           .onlyUntried = true,
                                           .mayTry = false,
                                           .longestWork = ServerSearch::longestWorkInTime(request.search, now),
                                           .limitShare = LimitOfHedge },
            this->contextOf(request, now), *this->parts.random);
    if (!choice.server || !request.service->retryBudget.takeForHedge(now))
        return;
    this->parts.counters->add(RetryReason::Hedge);
    request.hedged = true;
    this->send(request, std::move(choice.server), now, actions);
}

void RequestFlow::pass(
    RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now, Actions& actions)
{
    this->parts.counters->add(DecisionCount::Answered);
    this->parts.crashes->answered(request, now, actions);
    const bool isOvertaken = !request.flights.empty() && flight.attempt > request.flights.front().attempt;
    if (isOvertaken)
        this->parts.counters->add(DecisionCount::HedgesWon);
    actions.emplace_back(recordOfAnswered(request, flight, end, now));
    actions.emplace_back(PassAnswer{ .request = request.number, .attempt = flight.attempt });
    this->close(request, now, actions);
}

void RequestFlow::refuse(RequestState& request, RefusalReason reason, Milliseconds now, Actions& actions)
{
    const bool mayHaveRun = request.history.mayHaveRun > 0;
    const RefusedOutcome outcome = mayHaveRun ? RefusedOutcome::Unknown : RefusedOutcome::NotRun;
    this->parts.counters->add(reason);
    this->parts.counters->add(mayHaveRun ? DecisionCount::RefusedUnknown : DecisionCount::RefusedNotRun);
    const Milliseconds comeBack = reason == RefusalReason::CrashesBackendServers
        ? this->parts.crashes->refusedFor(request, now)
        : comeBackOf(request, reason, this->parts.random->unit(), now);
    const RefuseRequest refusal{
        .request = request.number, .outcome = outcome, .reason = reason, .comeBackAfter = comeBack
    };
    actions.emplace_back(recordOfRefused(request, refusal, this->parts.services->version(), now));
    actions.emplace_back(refusal);
    this->close(request, now, actions);
}

void RequestFlow::close(RequestState& request, Milliseconds now, Actions& actions)
{
    const AttemptEnd cancelled{ .result = AttemptResult::Cancelled };
    for (const Flight& flight : request.flights) {
        flight.server->ended(flight.attempt, cancelled, {}, now);
        actions.emplace_back(CancelAttempt{ .request = request.number, .attempt = flight.attempt });
    }
    if (request.service && request.phase == RequestPhase::Waiting)
        request.service->queue.remove(request.number);
    this->requests.erase(request.number);
}

void RequestFlow::callerGone(const CallerGone& event, Milliseconds now, Actions& actions)
{
    const auto found = this->requests.find(event.request);
    if (found == this->requests.end())
        return;
    this->parts.counters->add(DecisionCount::CallersGone);
    actions.emplace_back(recordOfRequest(RecordTopic::Request, "caller_gone", found->second)
                             .with("attempts", std::uint64_t{ found->second.attempts })
                             .with("took", (now - found->second.arrivedAt).count));
    const std::shared_ptr<ServiceState> service = found->second.service;
    this->close(found->second, now, actions);
    this->pump(*service, now, actions);
}

void RequestFlow::timedOut(RequestState& request, Milliseconds now, Actions& actions)
{
    // The servers are too slow for this request: that is a time-out of theirs too.
    const AttemptEnd late{ .result = AttemptResult::TimedOut };
    const std::vector<Flight> flights = request.flights;
    for (const Flight& flight : flights)
        this->learn(request, flight, late, now, actions);
    this->refuse(request, RefusalReason::DeadlinePassedSending, now, actions);
}

void RequestFlow::tickRequest(RequestState& request, Milliseconds now, Actions& actions)
{
    const bool isLate = now >= request.deadline;
    switch (request.phase) {
    case RequestPhase::Asking:
        this->enqueue(request, now, actions);
        return;
    case RequestPhase::Waiting:
        if (isLate)
            this->refuse(request, RefusalReason::DeadlinePassedWaiting, now, actions);
        else
            this->refuse(request, whyNobodyTook(request), now, actions);
        return;
    case RequestPhase::Sending:
        if (isLate)
            this->timedOut(request, now, actions);
        else
            this->hedge(request, now, actions);
        return;
    }
}

void RequestFlow::capacityChanged(Milliseconds now, Actions& actions)
{
    for (const auto& service : this->parts.services->all())
        this->pump(*service, now, actions);
}

void RequestFlow::tick(Milliseconds now, Actions& actions)
{
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
    Milliseconds due = Never;
    bool anyWaits = false;
    for (const auto& [number, request] : this->requests) {
        due = std::min(due, request.nextDue());
        anyWaits = anyWaits || request.phase == RequestPhase::Waiting;
    }
    return anyWaits ? std::min(due, now + PumpInterval) : due;
}

}
