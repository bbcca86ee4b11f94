#include "Traffic/RequestRunner.h"

#include "Traffic/Headers.h"
#include "Traffic/RefusalAnswer.h"
#include "Traffic/RequestReader.h"

#include <poll.h>
#include <utility>
#include <vector>

namespace burlreach {

namespace {

/** For hedges and probes. */
constexpr std::size_t HelperThreads = 16;
constexpr Milliseconds ComeBackAfterEarly{ 1000 };

}

RequestRunner::RequestRunner(const Clock& givenClock, EventSink& givenSink, TrafficMetrics& givenMetrics)
    : clock(&givenClock)
    , sink(&givenSink)
    , metrics(&givenMetrics)
    , connections(givenClock)
    , threads(HelperThreads)
{
}

std::shared_ptr<RequestSession> RequestRunner::find(RequestNumber number)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->sessions.find(number);
    return found == this->sessions.end() ? nullptr : found->second;
}

CallerAnswer RequestRunner::answer(CallerRequest request)
{
    const Milliseconds start = this->clock->now();
    RequestArrived event = readRequest(request);
    event.request = ++this->lastRequest;
    const auto session = std::make_shared<RequestSession>(event.request, std::move(request), *this->clock);
    {
        const std::lock_guard lock(this->mutex);
        this->sessions.emplace(event.request, session);
    }
    this->sink->post(event);
    std::string requestId = event.requestId;
    while (const auto attempt = session->next()) {
        requestId = attempt->requestId;
        this->runAttempt(*session, *attempt);
    }
    {
        const std::lock_guard lock(this->mutex);
        this->sessions.erase(event.request);
    }
    CallerAnswer answer = this->finish(*session, requestId);
    const Milliseconds total = this->clock->now() - start;
    this->metrics->waited.add(session->waited());
    this->metrics->added.add(total - session->waited() - session->atBackendServer());
    return answer;
}

void RequestRunner::runAttempt(RequestSession& session, const SendAttempt& attempt)
{
    const AttemptEnd end = session.run(attempt, this->connections);
    this->sink->post(AttemptEnded{ .request = attempt.request, .attempt = attempt.attempt, .end = end });
}

CallerAnswer RequestRunner::finish(RequestSession& session, const std::string& requestId)
{
    const RequestEnding& ending = session.ending();
    if (const auto* refusal = std::get_if<RefuseRequest>(&ending))
        return refusalAnswer(*refusal);
    const auto* pass = std::get_if<PassAnswer>(&ending);
    if (!pass)
        return {}; // the caller has left
    this->metrics->atBackendServer.add(session.atBackendServer());
    CallerAnswer answer = session.takeAnswer(pass->attempt);
    answer.headers.push_back({ .name = OutcomeHeader, .value = "answered" });
    const auto isRequestId = [](const HeaderLine& header) { return header.name == RequestIdHeader; };
    std::erase_if(answer.headers, isRequestId);
    if (!requestId.empty())
        answer.headers.push_back({ .name = RequestIdHeader, .value = requestId });
    return answer;
}

CallerAnswer RequestRunner::refuseEarly(RefusalReason reason, bool hasRequestId)
{
    this->sink->post(RefusedEarly{ .reason = reason });
    RefuseRequest refusal;
    refusal.reason = reason;
    refusal.outcome = outcomeWithoutClaim(hasRequestId);
    refusal.comeBackAfter = ComeBackAfterEarly;
    return refusalAnswer(refusal);
}

CallerAnswer RequestRunner::refuseSession(bool hasRequestId)
{
    return this->refuseEarly(RefusalReason::TooManySessions, hasRequestId);
}

CallerAnswer RequestRunner::refuseBody(bool hasRequestId)
{
    return this->refuseEarly(RefusalReason::BodyTooLarge, hasRequestId);
}

void RequestRunner::execute(const SendAttempt& action)
{
    const auto session = this->find(action.request);
    if (!session || session->offer(action))
        return;
    this->threads.run([this, session, action] { this->runAttempt(*session, action); });
}

void RequestRunner::execute(const CancelAttempt& action)
{
    if (const auto session = this->find(action.request))
        session->cancel(action.attempt);
}

void RequestRunner::execute(const PassAnswer& action)
{
    if (const auto session = this->find(action.request))
        session->end(action);
}

void RequestRunner::execute(const RefuseRequest& action)
{
    if (const auto session = this->find(action.request))
        session->end(action);
}

void RequestRunner::execute(const SendProbe& action)
{
    this->threads.run([this, probe = action.probe] { this->runProbe(probe); });
}

void RequestRunner::runProbe(const Probe& probe)
{
    CallerRequest request;
    request.method = "GET";
    request.target = ProbePath;
    SendAttempt attempt;
    attempt.timeLeft = probe.timeout;
    const Milliseconds start = this->clock->now();
    const auto connection = this->connections.take(probe.address);
    const BackendExchange exchange = connection->send(
        request, attempt, *this->clock, { .sendBy = start + probe.timeout, .silence = probe.timeout });
    if (exchange.isClean)
        this->connections.put(probe.address, connection);
    ProbeEnded ended;
    ended.probe = probe.number;
    ended.answered = exchange.end.result == AttemptResult::Answered && exchange.end.reportedInFlight.has_value();
    ended.reportedInFlight = exchange.end.reportedInFlight.value_or(0);
    ended.leaving = exchange.end.leaving;
    ended.took = this->clock->now() - start;
    this->sink->post(ended);
}

void RequestRunner::checkCallers()
{
    std::vector<std::shared_ptr<RequestSession>> open;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto& [number, session] : this->sessions)
            open.push_back(session);
    }
    std::vector<pollfd> items;
    items.reserve(open.size());
    for (const auto& session : open)
        items.push_back({ .fd = session->callerSocket(), .events = POLLRDHUP, .revents = 0 });
    if (poll(items.data(), items.size(), 0) <= 0)
        return;
    for (std::size_t index = 0; index < items.size(); ++index) {
        if (!items[index].revents)
            continue;
        this->sink->post(CallerGone{ .request = open[index]->number() });
        open[index]->end(NobodyToAnswer{});
    }
}

}
