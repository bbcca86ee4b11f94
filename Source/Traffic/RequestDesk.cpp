#include "Traffic/RequestDesk.h"

#include "Admission/ComeBackTime.h"
#include "Base/ChronoDuration.h"
#include "Traffic/StableFields.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace burlreach {

namespace {

namespace http = boost::beast::http;

constexpr unsigned HttpVersion = 11;

RefusalReason reasonOf(HttpRequestProblem problem)
{
    return problem == HttpRequestProblem::BodyTooLarge ? RefusalReason::BodyTooLarge : RefusalReason::BadRequest;
}

http::status statusOf(HttpRequestProblem problem)
{
    switch (problem) {
    case HttpRequestProblem::HeaderTooLarge:
        return http::status::request_header_fields_too_large;
    case HttpRequestProblem::BodyTooLarge:
        return http::status::payload_too_large;
    case HttpRequestProblem::TooSlow:
        return http::status::request_timeout;
    case HttpRequestProblem::Malformed:
        break;
    }
    return http::status::bad_request;
}

}

RequestDesk::RequestDesk(asio::io_context& givenContext, Options givenOptions, Parts givenParts)
    : context(&givenContext)
    , options(std::move(givenOptions))
    , parts(givenParts)
    , listener(givenContext, *this, *givenParts.clock)
    , acceptTimer(givenContext)
    , connections({}, *givenParts.clock)
{
    this->listener.setLimits(this->options.limits);
    this->listener.setMaxSessions(this->options.mostSessions);
}

std::error_code RequestDesk::start()
{
    if (const auto error = this->listener.listen(this->options.address))
        return error;
    this->acceptTimer.expires_after(toDuration(this->options.maxWaitForConfiguration));
    this->acceptTimer.async_wait([this](const asio::error_code& error) {
        if (!error)
            this->listener.beginAccepting();
    });
    return {};
}

void RequestDesk::tend()
{
    this->listener.tend();
    this->connections.closeExpired();
    this->parts.metrics->openSessions = this->listener.sessions();
    this->parts.metrics->sessionsRefused = this->listener.refusedSessions();
}

void RequestDesk::requestRead(const std::shared_ptr<HttpSession>& session, ReadRequest read)
{
    HttpRequest& message = read.message;
    const CallerFields fields = this->parts.dialect->readCaller(message);
    const Milliseconds now = this->parts.clock->now();
    const RequestNumber number = ++this->lastNumber;
    RequestArrived event;
    event.request = number;
    event.host = valueOf(message, "Host");
    event.method = std::string(message.method_string());
    event.path = std::string(message.target());
    event.requestId = fields.requestId;
    if (fields.timeLeft)
        event.timeLeft = std::max(Milliseconds{}, *fields.timeLeft - (now - read.readAt));
    event.bodyBytes = message.body().size();
    event.caller = session->caller();
    event.credential = fields.credential;
    event.digest = digestOf({ .host = event.host,
        .method = event.method,
        .path = event.path,
        .fields = hashStableFields(message, *this->parts.dialect),
        .body = message.body() });
    Request& request = this->requests[number];
    request.session = session;
    request.sessionRequest = read.number;
    request.message = std::move(message);
    request.requestId = fields.requestId;
    request.arrivedAt = now;
    this->requestsBySession.emplace(session->number(), number);
    this->parts.metrics->openRequests = this->requests.size();
    if (fields.isValid)
        return this->parts.sink->post(event);
    this->parts.sink->post(RefusedEarly{ .reason = RefusalReason::BadRequest });
    this->execute(RefuseRequest{ .request = number,
        .outcome = RefusedOutcome::NotRun,
        .reason = RefusalReason::BadRequest,
        .comeBackAfter = UsualComeBack });
}

void RequestDesk::requestUnreadable(
    const std::shared_ptr<HttpSession>& session, HttpRequestNumber request, HttpRequestProblem problem)
{
    this->parts.sink->post(RefusedEarly{ .reason = reasonOf(problem) });
    session->answer(request, HttpResponse(statusOf(problem), HttpVersion));
}

bool RequestDesk::mayStartEarly(const HttpRequest& request) const
{
    return this->parts.repeats
        && this->parts.repeats->mayRepeat(valueOf(request, "Host"), request.method_string(), request.target());
}

void RequestDesk::sessionRefused()
{
    this->parts.sink->post(RefusedEarly{ .reason = RefusalReason::TooManySessions });
}

void RequestDesk::callerGone(const std::shared_ptr<HttpSession>& session)
{
    std::vector<RequestNumber> gone;
    const auto [first, end] = this->requestsBySession.equal_range(session->number());
    for (auto item = first; item != end; ++item)
        gone.push_back(item->second);
    this->requestsBySession.erase(session->number());
    for (const RequestNumber number : gone) {
        // Posted before the request is erased, because handling the event cancels the request's attempts.
        this->parts.sink->post(CallerGone{ .request = number });
        this->requests.erase(number);
    }
    this->parts.metrics->openRequests = this->requests.size();
}

void RequestDesk::removeFromSession(std::uint64_t session, RequestNumber number)
{
    const auto [first, end] = this->requestsBySession.equal_range(session);
    const auto found = std::find_if(first, end, [number](const auto& item) { return item.second == number; });
    if (found != end)
        this->requestsBySession.erase(found);
}

HttpRequest RequestDesk::makeForwardedRequest(const Request& request, const SendAttempt& action) const
{
    HttpRequest message = request.message;
    removeHopByHopFields(message);
    message.version(HttpVersion);
    this->parts.dialect->writeAttempt(message,
        { .backendServer = action.backendServer,
            .timeLeft = action.timeLeft,
            .customer = { .withholdsKey = action.isKeyKept, .customer = action.customer } });
    return message;
}

void RequestDesk::execute(const SendAttempt& action)
{
    const auto found = this->requests.find(action.request);
    if (found == this->requests.end())
        return;
    Request& request = found->second;
    HttpExchange::Options exchange;
    exchange.address = action.address;
    exchange.request = encode(this->makeForwardedRequest(request, action));
    exchange.isHeadRequest = request.message.method() == http::verb::head;
    exchange.connectTimeout = this->options.connectTimeout;
    exchange.isAnswerToRequest = [dialect = this->parts.dialect, id = request.requestId](
                                     const HttpResponse& response) { return dialect->isAnswerTo(response, id); };
    const Milliseconds now = this->parts.clock->now();
    exchange.headerReceived
        = [this, server = action.backendServer, life = action.life, now](
              const HttpResponse& header) { this->answerHeaderReceived(server, life, now, header); };
    const RequestNumber number = action.request;
    const AttemptNumber attempt = action.attempt;
    Attempt& started = request.attempts[attempt];
    started.backendServer = action.backendServer;
    started.sentAt = now;
    started.exchange = std::make_shared<HttpExchange>(*this->context, std::move(exchange),
        [this, number, attempt](HttpExchangeEnd end) { this->attemptEnded(number, attempt, std::move(end)); });
    const Milliseconds longestIdle = action.mayRepeat ? Never : this->options.maxIdleForRunOnce;
    auto kept = this->connections.take(action.backendServer, longestIdle);
    ++(kept ? this->parts.metrics->connectionsReused : this->parts.metrics->connectionsOpened);
    started.exchange->start(std::move(kept));
}

void RequestDesk::answerHeaderReceived(
    const std::string& backendServer, std::uint64_t life, Milliseconds sentAt, const HttpResponse& header)
{
    // The notice is not left to the end of the attempt: the server of a retry is chosen there, the body may take long
    // or break off, and a late answer to another request never ends an attempt.
    const ServerNotice notice = this->parts.dialect->readNotice(header, backendServer);
    if (!notice.isEmpty())
        this->parts.sink->post(
            ServerNoticed{ .backendServer = backendServer, .life = life, .notice = notice, .sentAt = sentAt });
    for (UnreadField& field : this->unreadFields.findNew(header, *this->parts.dialect))
        this->parts.sink->post(UnreadFieldSeen{
            .backendServer = backendServer, .field = std::move(field.name), .value = std::move(field.value) });
}

AttemptEnd RequestDesk::attemptEndOf(const HttpExchangeEnd& end, const std::string& backendServer) const
{
    if (end.response)
        return this->parts.dialect->readAnswer(*end.response, backendServer);
    AttemptEnd failed;
    const bool isNotSent = end.result == HttpExchangeResult::NotSent;
    failed.result = isNotSent ? AttemptResult::NotSent : AttemptResult::Broken;
    if (end.result == HttpExchangeResult::TimedOut)
        failed.result = AttemptResult::TimedOut;
    return failed;
}

void RequestDesk::attemptEnded(RequestNumber number, AttemptNumber attempt, HttpExchangeEnd end)
{
    const auto found = this->requests.find(number);
    if (found == this->requests.end())
        return;
    Attempt& ended = found->second.attempts[attempt];
    AttemptEnded event;
    event.request = number;
    event.attempt = attempt;
    event.backendServer = ended.backendServer;
    event.end = this->attemptEndOf(end, ended.backendServer);
    this->returnConnection(ended.backendServer, end);
    ended.response = std::move(end.response);
    ended.exchange.reset();
    const Milliseconds took = this->parts.clock->now() - ended.sentAt;
    found->second.atBackendServer = took;
    this->parts.metrics->atBackendServer.add(took);
    this->parts.sink->post(event);
}

void RequestDesk::returnConnection(const std::string& backendServer, HttpExchangeEnd& end)
{
    if (end.connection)
        this->connections.add(backendServer, std::move(end.connection));
}

void RequestDesk::execute(const CancelAttempt& action)
{
    const auto found = this->requests.find(action.request);
    if (found == this->requests.end())
        return;
    const auto attempt = found->second.attempts.find(action.attempt);
    if (attempt == found->second.attempts.end() || !attempt->second.exchange)
        return;
    attempt->second.exchange->cancel();
    attempt->second.exchange.reset();
}

void RequestDesk::execute(const PassAnswer& action)
{
    const auto found = this->requests.find(action.request);
    if (found == this->requests.end())
        return;
    std::optional<HttpResponse> response = std::move(found->second.attempts[action.attempt].response);
    if (!response)
        return;
    removeHopByHopFields(*response);
    this->parts.dialect->writeAnswer(*response);
    this->parts.metrics->answered.add(this->parts.clock->now() - found->second.arrivedAt);
    this->sendAnswer(action.request, std::move(*response));
}

void RequestDesk::execute(const RefuseRequest& action)
{
    const auto found = this->requests.find(action.request);
    if (found == this->requests.end())
        return;
    this->parts.metrics->refused.add(this->parts.clock->now() - found->second.arrivedAt);
    this->sendAnswer(action.request, this->parts.dialect->makeRefusal(action, found->second.requestId));
}

void RequestDesk::sendAnswer(RequestNumber number, HttpResponse response)
{
    const auto found = this->requests.find(number);
    const auto session = found->second.session.lock();
    const HttpRequestNumber answeredRequest = found->second.sessionRequest;
    const Milliseconds total = this->parts.clock->now() - found->second.arrivedAt;
    this->parts.metrics->added.add(total - std::min(total, found->second.atBackendServer));
    for (auto& [attempt, item] : found->second.attempts) {
        if (item.exchange)
            item.exchange->cancel();
    }
    this->requests.erase(found);
    this->parts.metrics->openRequests = this->requests.size();
    if (!session)
        return;
    this->removeFromSession(session->number(), number);
    session->answer(answeredRequest, std::move(response));
}

void RequestDesk::execute(const SendProbe& action)
{
    auto kept = this->connections.take(action.probe.backendServer, Never);
    ++(kept ? this->parts.metrics->connectionsReused : this->parts.metrics->connectionsOpened);
    this->startProbe(action.probe, std::move(kept));
}

void RequestDesk::startProbe(const Probe& probe, std::shared_ptr<HttpConnection> kept)
{
    HttpRequest message(http::verb::get, probe.path, HttpVersion);
    message.set(http::field::host, probe.address.text());
    this->parts.dialect->writeProbe(message, probe.backendServer);
    HttpExchange::Options options;
    options.address = probe.address;
    options.request = encode(std::move(message));
    options.connectTimeout = this->options.connectTimeout;
    options.timeout = probe.timeout;
    options.headerReceived = [this, server = probe.backendServer, life = probe.life, now = this->parts.clock->now()](
                                 const HttpResponse& header) { this->answerHeaderReceived(server, life, now, header); };
    const bool wasKept = kept != nullptr;
    const auto exchange = std::make_shared<HttpExchange>(*this->context, std::move(options),
        [this, probe, wasKept](HttpExchangeEnd end) { this->probeEnded(probe, wasKept, std::move(end)); });
    exchange->start(std::move(kept));
}

void RequestDesk::probeEnded(const Probe& probe, bool wasKept, HttpExchangeEnd end)
{
    const bool wasClosed = end.result == HttpExchangeResult::Broken || end.result == HttpExchangeResult::NotSent;
    // The server may have closed the idle connection just before the probe was sent; try a new connection.
    if (wasKept && wasClosed)
        return this->startProbe(probe, nullptr);
    ProbeEnd ended;
    if (end.response)
        ended = this->parts.dialect->readProbe(*end.response, probe.backendServer);
    this->returnConnection(probe.backendServer, end);
    this->parts.sink->post(ProbeEnded{ .probe = probe.number, .end = ended });
}

void RequestDesk::execute(const CheckServer& action)
{
    openConnection(*this->context, action.address, this->options.connectTimeout,
        [this, server = action.backendServer](const asio::error_code& error, std::shared_ptr<HttpConnection> opened) {
            ServerChecked checked{ .backendServer = server, .result = ServerCheck::CameUp };
            if (error == asio::error::connection_refused)
                checked.result = ServerCheck::NobodyListens;
            else if (error)
                checked.result = ServerCheck::NoAnswer;
            if (opened)
                this->connections.add(server, std::move(opened));
            this->parts.sink->post(checked);
        });
}

void RequestDesk::execute(const StopSendingTo& action)
{
    if (!action.keepsConnections)
        this->connections.closeAll(action.backendServer);
    // Collected first: ending an exchange posts an event whose handling changes the map of requests.
    std::vector<std::shared_ptr<HttpExchange>> unsent;
    for (const auto& [number, request] : this->requests) {
        for (const auto& [attempt, item] : request.attempts) {
            if (item.exchange && item.backendServer == action.backendServer && !item.exchange->hasBegunWriting())
                unsent.push_back(item.exchange);
        }
    }
    for (const auto& exchange : unsent)
        exchange->abortUnsent();
}

void RequestDesk::execute(const SetCallerLimits& action)
{
    this->acceptTimer.cancel();
    this->listener.beginAccepting();
    this->listener.setLimits({ .headerBytes = action.limits.headerBytes,
        .bodyBytes = action.limits.bodyBytes,
        .headerTimeout = action.limits.headerTimeout,
        .idleTimeout = action.limits.idleTimeout });
}

}
