#include "Node/RequestFlow.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace burlreach {

namespace {

/** Issued ids are tried for a slot that grants without asking another instance. */
constexpr unsigned MostIdTries = 128;

constexpr Milliseconds ShortestComeBack{ 50 };
constexpr Milliseconds LongestComeBack{ 5000 };
/** Of the time until its deadline a request may wait; more only makes all of them late. */
constexpr double WaitShare = 0.2;
constexpr Milliseconds LongestWait{ 50 };
constexpr Milliseconds UsualComeBack{ 1000 };

void appendHex(std::string& text, std::uint64_t number)
{
    constexpr int hexadecimal = 16;
    char digits[hexadecimal];
    const auto written = std::to_chars(std::begin(digits), std::end(digits), number, hexadecimal);
    text.append(std::begin(digits), written.ptr);
}

RetryReason retryReasonOf(AttemptResult result)
{
    switch (result) {
    case AttemptResult::NotSent:
        return RetryReason::NotSent;
    case AttemptResult::RefusedNotRun:
        return RetryReason::RefusedNotRun;
    case AttemptResult::ErrorAnswer:
        return RetryReason::ErrorAnswer;
    default:
        return RetryReason::AnswerBroken;
    }
}

}

RequestFlow::RequestFlow(Options givenOptions, Parts givenParts)
    : options(std::move(givenOptions))
    , parts(givenParts)
{
}

void RequestFlow::arrived(const RequestArrived& event, Milliseconds now, Actions& actions, Outbox& outbox)
{
    this->parts.counters->add(DecisionCount::RequestsArrived);
    RequestState request;
    request.number = event.request;
    request.arrivedAt = now;
    request.deadline = now;
    request.isRetryOfOthers = event.isRetry;
    const RefusedOutcome unclaimed = outcomeWithoutClaim(!event.requestId.empty());
    if (!event.isReadable)
        return this->refuseAs(request, unclaimed, RefusalReason::BadRequest, now, actions);
    if (!this->parts.services->isConfigured())
        return this->refuseAs(request, unclaimed, RefusalReason::NotReady, now, actions);
    request.service = this->parts.services->byHost(event.host);
    if (!request.service)
        return this->refuseAs(request, unclaimed, RefusalReason::NoService, now, actions);
    if (event.bodyBytes > request.service->limits.maximumBodyBytes)
        return this->refuseAs(request, unclaimed, RefusalReason::BodyTooLarge, now, actions);
    request.kind = classify(request.service->service, event.method, event.path, request.service->limits.deadline);
    if (event.priority)
        request.kind.priority = *event.priority;
    request.deadline = now + std::min(event.timeLeft.value_or(Never), request.kind.deadline);
    // A grant is not used longer than the owners surely remember it.
    if (request.isRunOnce())
        request.deadline = std::min(request.deadline, now + this->options.grantValid);
    RequestState& kept = this->requests.insert_or_assign(event.request, std::move(request)).first->second;
    if (kept.isRunOnce())
        this->startClaim(kept, event, now, outbox);
    else
        this->admit(kept, now, actions, outbox);
}

std::string RequestFlow::issueRequestId(Milliseconds now)
{
    std::string issued;
    for (unsigned tries = 0; tries < MostIdTries; ++tries) {
        issued.clear();
        appendHex(issued, this->options.incarnation);
        issued += '-';
        appendHex(issued, ++this->lastIssued);
        if (this->parts.ledger->grantsNow(slotOf(issued), now))
            break;
    }
    return issued;
}

void RequestFlow::startClaim(RequestState& request, const RequestArrived& event, Milliseconds now, Outbox& outbox)
{
    request.phase = RequestPhase::Claiming;
    request.claim.number = request.number;
    request.claim.requestId = event.requestId;
    request.claim.attempt = event.attempt;
    if (event.requestId.empty()) {
        request.claim.requestId = this->issueRequestId(now);
        request.claim.issued = true;
    }
    this->parts.claims->begin(request.claim, now, outbox);
}

void RequestFlow::claimAnswered(const peers::ClaimAnswer& answer, Milliseconds now, Actions& actions, Outbox& outbox)
{
    const auto found = this->requests.find(answer.number());
    const bool isAwaited = found != this->requests.end() && found->second.phase == RequestPhase::Claiming;
    if (!isAwaited || answer.result() == peers::ClaimAnswer::NOT_OWNER)
        return;
    RequestState& request = found->second;
    this->parts.claims->end(request.number);
    if (answer.result() == peers::ClaimAnswer::GRANTED) {
        this->parts.counters->add(DecisionCount::ClaimsGranted);
        request.granted = true;
        return this->admit(request, now, actions, outbox);
    }
    this->parts.counters->add(DecisionCount::ClaimsRefused);
    switch (answer.result()) {
    case peers::ClaimAnswer::CLOSED_NOT_RUN:
        return this->refuseAs(request, RefusedOutcome::NotRun, RefusalReason::RequestIdClosed, now, actions);
    case peers::ClaimAnswer::RECORDS_LOST:
        return this->refuseAs(request, RefusedOutcome::Unknown, RefusalReason::RecordsLost, now, actions);
    case peers::ClaimAnswer::NO_ROOM:
        return this->refuse(request, RefusalReason::RecordsFull, now, actions, outbox);
    default:
        return this->refuseAs(request, RefusedOutcome::Unknown, RefusalReason::RequestIdTaken, now, actions);
    }
}

void RequestFlow::admit(RequestState& request, Milliseconds now, Actions& actions, Outbox& outbox)
{
    ServiceState& service = *request.service;
    if (service.queue.ahead(request.kind.priority))
        return this->enqueue(request, now, actions, outbox);
    Choice choice = service.pool.choose(
        request.tried, { .now = now, .dataCentre = this->options.dataCentre }, *this->parts.random);
    if (choice.server) {
        this->send(request, std::move(choice.server), now, actions, outbox);
        return;
    }
    if (choice.reason == NoChoice::NobodyTakes)
        return this->refuse(request, RefusalReason::NoBackendServer, now, actions, outbox);
    this->enqueue(request, now, actions, outbox);
}

void RequestFlow::enqueue(RequestState& request, Milliseconds now, Actions& actions, Outbox& outbox)
{
    ServiceState& service = *request.service;
    if (service.queue.size() >= service.limits.queueLength)
        return this->refuse(request, RefusalReason::QueueFull, now, actions, outbox);
    const Milliseconds wait = service.waitEstimate.wait(service.queue.ahead(request.kind.priority), now);
    const Milliseconds answerTime = service.pool.meanResponse().value_or(Milliseconds{});
    const Milliseconds timeLeft = request.deadline - now;
    const Milliseconds mostWait
        = request.kind.priority == v1::CAN_WAIT ? timeLeft : std::min(timeLeft * WaitShare, LongestWait);
    if (wait > mostWait || wait + answerTime > timeLeft)
        return this->refuse(request, RefusalReason::CannotMeetDeadline, now, actions, outbox);
    request.phase = RequestPhase::Waiting;
    service.queue.push(request.kind.priority, { .request = request.number, .deadline = request.deadline });
}

bool RequestFlow::send(RequestState& request, std::shared_ptr<BackendServerState> server, Milliseconds now,
    Actions& actions, Outbox& outbox)
{
    if (request.isRunOnce() && now - request.arrivedAt > this->options.grantValid) {
        this->refuse(request, RefusalReason::GrantTooOld, now, actions, outbox);
        return false;
    }
    if (!request.attempts++) {
        this->parts.counters->add(DecisionCount::FirstAttempts);
        request.service->retryBudget.firstAttempt();
    }
    const AttemptNumber attempt = ++this->lastAttempt;
    request.phase = RequestPhase::Sending;
    const bool hedges = this->options.hedges && request.mayBeHedged() && request.service->usualResponse.known();
    request.hedgeAt
        = hedges ? now + std::max(request.service->usualResponse.value(), this->options.shortestHedge) : Never;
    server->sent(attempt, now);
    actions.emplace_back(SendAttempt{ .request = request.number,
        .attempt = attempt,
        .service = request.service->service.name(),
        .backendServer = server->name(),
        .address = server->address(),
        .requestId = request.claim.requestId,
        .timeLeft = request.deadline - now,
        .isRetry = request.isRetryOfOthers || request.attempts > 1 });
    request.tried.push_back(server);
    request.flights.push_back({ .attempt = attempt, .server = std::move(server), .sentAt = now });
    return true;
}

bool RequestFlow::attemptEnded(const AttemptEnded& event, Milliseconds now, Actions& actions, Outbox& outbox)
{
    const auto found = this->requests.find(event.request);
    if (found == this->requests.end())
        return false;
    RequestState& request = found->second;
    const auto flight = std::find_if(request.flights.begin(), request.flights.end(),
        [&](const Flight& item) { return item.attempt == event.attempt; });
    if (flight == request.flights.end())
        return false;
    const Flight ended = *flight;
    request.flights.erase(flight);
    const std::shared_ptr<ServiceState> service = request.service;
    const bool isNews = this->learn(request, ended, event.end, now);
    this->decideAfter(request, event, now, actions, outbox);
    this->pump(*service, now, actions, outbox);
    return isNews;
}

bool RequestFlow::learn(RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now) const
{
    BackendServerState& server = *flight.server;
    const Milliseconds response = server.ended(flight.attempt, end, now);
    if (end.result == AttemptResult::Answered && request.mayBeHedged())
        request.service->usualResponse.add(response);
    if (end.reportedInFlight)
        this->parts.loads->reported(server, *end.reportedInFlight, now);
    if (request.service->pool.checkOutlier(server, now))
        this->parts.counters->add(DecisionCount::Ejections);
    return end.leaving && this->parts.loads->leavingSign(server, true, now);
}

void RequestFlow::decideAfter(
    RequestState& request, const AttemptEnded& event, Milliseconds now, Actions& actions, Outbox& outbox)
{
    const AttemptResult result = event.end.result;
    if (result == AttemptResult::Answered)
        return this->pass(request, event.attempt, now, actions);
    if (!isProvedNotRun(result))
        request.mayHaveRun = true;
    // A hedge may still bring a good answer.
    if (!request.flights.empty())
        return;
    if (this->tryAgain(request, result, now, actions, outbox))
        return;
    switch (result) {
    case AttemptResult::ErrorAnswer:
        return this->pass(request, event.attempt, now, actions);
    case AttemptResult::NotSent:
    case AttemptResult::RefusedNotRun:
        return this->refuse(request, RefusalReason::BackendServersRefused, now, actions, outbox);
    case AttemptResult::TimedOut:
        return this->refuse(request, RefusalReason::DeadlinePassedSending, now, actions, outbox);
    default:
        return this->refuse(request, RefusalReason::AnswerBroken, now, actions, outbox);
    }
}

bool RequestFlow::mayTryAgain(const RequestState& request, AttemptResult result) const
{
    if (request.attempts >= this->options.mostAttempts || request.isRetryOfOthers)
        return false;
    if (request.isRunOnce())
        return isProvedNotRun(result) && !request.mayHaveRun;
    return result != AttemptResult::TimedOut;
}

bool RequestFlow::tryAgain(
    RequestState& request, AttemptResult result, Milliseconds now, Actions& actions, Outbox& outbox)
{
    if (now >= request.deadline || !this->mayTryAgain(request, result))
        return false;
    Choice choice = request.service->pool.choose(
        request.tried, { .now = now, .dataCentre = this->options.dataCentre }, *this->parts.random);
    if (!choice.server && choice.reason == NoChoice::NobodyTakes)
        return false;
    if (!request.service->retryBudget.take()) {
        this->parts.counters->add(DecisionCount::RetriesDenied);
        return false;
    }
    this->parts.counters->add(retryReasonOf(result));
    if (!choice.server) {
        this->enqueue(request, now, actions, outbox);
        return true;
    }
    this->send(request, std::move(choice.server), now, actions, outbox);
    return true;
}

void RequestFlow::pass(RequestState& request, AttemptNumber attempt, Milliseconds now, Actions& actions)
{
    this->parts.counters->add(DecisionCount::Answered);
    actions.emplace_back(PassAnswer{ .request = request.number, .attempt = attempt });
    this->cancelFlights(request, now, actions);
    this->requests.erase(request.number);
}

RefusedOutcome RequestFlow::outcomeOf(const RequestState& request) const
{
    if (request.mayHaveRun)
        return RefusedOutcome::Unknown;
    if (!request.isRunOnce() || request.granted || request.claim.issued)
        return RefusedOutcome::NotRun;
    // Another attempt with this id may have run elsewhere, or still may.
    return RefusedOutcome::Unknown;
}

void RequestFlow::refuse(
    RequestState& request, RefusalReason reason, Milliseconds now, Actions& actions, Outbox& outbox)
{
    // Attempts under way cannot be taken back.
    if (!request.flights.empty())
        request.mayHaveRun = true;
    if (request.isRunOnce() && !request.mayHaveRun)
        this->parts.claims->close(request.claim, outbox);
    this->refuseAs(request, this->outcomeOf(request), reason, now, actions);
}

void RequestFlow::refuseAs(
    RequestState& request, RefusedOutcome outcome, RefusalReason reason, Milliseconds now, Actions& actions)
{
    this->parts.counters->add(reason);
    this->parts.counters->add(
        outcome == RefusedOutcome::NotRun ? DecisionCount::RefusedNotRun : DecisionCount::RefusedUnknown);
    actions.emplace_back(RefuseRequest{ .request = request.number,
        .outcome = outcome,
        .reason = reason,
        .comeBackAfter = this->comeBackAfter(request, reason, now),
        .requestId = request.claim.requestId });
    this->parts.claims->end(request.number);
    if (request.service)
        request.service->queue.remove(request.number);
    this->cancelFlights(request, now, actions);
    this->requests.erase(request.number);
}

Milliseconds RequestFlow::comeBackAfter(const RequestState& request, RefusalReason reason, Milliseconds now) const
{
    switch (reason) {
    case RefusalReason::QueueFull:
    case RefusalReason::CannotMeetDeadline:
    case RefusalReason::DeadlinePassedWaiting:
        break;
    case RefusalReason::RecordsLost:
    case RefusalReason::RecordsFull:
        return LongestComeBack;
    default:
        return UsualComeBack;
    }
    const ServiceState& service = *request.service;
    const Milliseconds wait = service.waitEstimate.wait(service.queue.size(), now);
    return std::clamp(wait, ShortestComeBack, LongestComeBack);
}

void RequestFlow::cancelFlights(RequestState& request, Milliseconds now, Actions& actions)
{
    for (const Flight& flight : request.flights) {
        flight.server->ended(flight.attempt,
            { .result = AttemptResult::Cancelled, .reportedInFlight = std::nullopt, .leaving = false }, now);
        actions.emplace_back(CancelAttempt{ .request = request.number, .attempt = flight.attempt });
    }
    request.flights.clear();
}

void RequestFlow::callerGone(const CallerGone& event, Milliseconds now, Actions& actions, Outbox& outbox)
{
    const auto found = this->requests.find(event.request);
    if (found == this->requests.end())
        return;
    RequestState& request = found->second;
    this->parts.counters->add(DecisionCount::CallersGone);
    const bool wasNeverSent = request.flights.empty() && !request.mayHaveRun;
    if (request.isRunOnce() && wasNeverSent)
        this->parts.claims->close(request.claim, outbox);
    this->parts.claims->end(request.number);
    const std::shared_ptr<ServiceState> service = request.service;
    service->queue.remove(request.number);
    this->cancelFlights(request, now, actions);
    this->requests.erase(found);
    this->pump(*service, now, actions, outbox);
}

void RequestFlow::pump(ServiceState& service, Milliseconds now, Actions& actions, Outbox& outbox)
{
    while (service.queue.size()) {
        Choice choice
            = service.pool.choose({}, { .now = now, .dataCentre = this->options.dataCentre }, *this->parts.random);
        if (!choice.server)
            return;
        const auto waiting = service.queue.pop();
        const auto found = waiting ? this->requests.find(waiting->request) : this->requests.end();
        if (found == this->requests.end())
            continue;
        service.waitEstimate.left(now);
        if (now >= found->second.deadline)
            this->refuse(found->second, RefusalReason::DeadlinePassedWaiting, now, actions, outbox);
        else
            this->send(found->second, std::move(choice.server), now, actions, outbox);
    }
}

void RequestFlow::hedge(RequestState& request, Milliseconds now, Actions& actions, Outbox& outbox)
{
    request.hedgeAt = Never;
    if (request.attempts >= this->options.mostAttempts)
        return;
    Choice choice = request.service->pool.choose(
        request.tried, { .now = now, .dataCentre = this->options.dataCentre }, *this->parts.random);
    const bool isOther = choice.server && choice.server != request.flights.front().server;
    if (!isOther || !request.service->retryBudget.take())
        return;
    this->parts.counters->add(RetryReason::Hedge);
    this->send(request, std::move(choice.server), now, actions, outbox);
    request.hedgeAt = Never;
}

void RequestFlow::tickRequest(RequestState& request, Milliseconds now, Actions& actions, Outbox& outbox)
{
    const bool isLate = now >= request.deadline;
    switch (request.phase) {
    case RequestPhase::Claiming:
        if (isLate || now - request.arrivedAt >= this->options.claimPatience)
            this->refuse(request, RefusalReason::OwnersUnreachable, now, actions, outbox);
        return;
    case RequestPhase::Waiting:
        if (isLate)
            this->refuse(request, RefusalReason::DeadlinePassedWaiting, now, actions, outbox);
        return;
    case RequestPhase::Sending:
        if (isLate) {
            // The server is too slow for this request: that is a time-out too.
            const std::shared_ptr<ServiceState> service = request.service;
            for (const Flight& flight : request.flights)
                this->learn(request, flight,
                    { .result = AttemptResult::TimedOut, .reportedInFlight = std::nullopt, .leaving = false }, now);
            this->refuse(request, RefusalReason::DeadlinePassedSending, now, actions, outbox);
        } else if (now >= request.hedgeAt)
            this->hedge(request, now, actions, outbox);
        return;
    }
}

void RequestFlow::tick(Milliseconds now, Actions& actions, Outbox& outbox)
{
    std::vector<RequestNumber> due;
    for (const auto& [number, request] : this->requests) {
        const bool isClaiming = request.phase == RequestPhase::Claiming;
        if (isClaiming || now >= std::min(request.deadline, request.hedgeAt))
            due.push_back(number);
    }
    std::sort(due.begin(), due.end());
    for (const RequestNumber number : due) {
        const auto found = this->requests.find(number);
        if (found != this->requests.end())
            this->tickRequest(found->second, now, actions, outbox);
    }
    for (const auto& service : this->parts.services->all())
        this->pump(*service, now, actions, outbox);
}

}
