#include "Traffic/RequestForwarder.h"

#include "Admission/RetryAfterDelay.h"
#include "Base/ChronoDuration.h"
#include "Http/HeldBody.h"
#include "Traffic/ConnectError.h"
#include "Traffic/StableFields.h"

#include <algorithm>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace burlreach {

namespace {

namespace http = boost::beast::http;

constexpr unsigned HttpVersion = 11;
/** The body of an answer to a probe is not used. */
constexpr std::size_t MaxProbeAnswerBytes = 65536;

RefusalReason reasonOf(HttpRequestProblem problem)
{
    switch (problem) {
    case HttpRequestProblem::BodyTooLarge:
        return RefusalReason::BodyTooLarge;
    case HttpRequestProblem::MemoryFull:
        return RefusalReason::MemoryFull;
    case HttpRequestProblem::TooManySessions:
        return RefusalReason::TooManySessions;
    default:
        return RefusalReason::BadRequest;
    }
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
    case HttpRequestProblem::MemoryFull:
    case HttpRequestProblem::TooManySessions:
        return http::status::service_unavailable;
    case HttpRequestProblem::Malformed:
        break;
    }
    return http::status::bad_request;
}

}

RequestForwarder::RequestForwarder(asio::io_context& givenContext, Options givenOptions, Dependencies givenParts)
    : context(&givenContext)
    , options(std::move(givenOptions))
    , dependencies(givenParts)
    , listener(givenContext, *this, *givenParts.clock)
    , acceptTimer(givenContext)
    , connections({}, *givenParts.clock)
    , memory(std::make_shared<MemoryBound>(this->options.maxMemory))
{
    this->listener.setLimits(this->options.limits);
    this->listener.setMemory(this->memory);
    this->listener.setMaxSessions(this->options.maxSessions);
}

std::error_code RequestForwarder::start()
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

void RequestForwarder::runMaintenance()
{
    this->listener.closeExpiredSessions();
    this->connections.closeExpired();
    for (const auto& [number, request] : this->requests)
        this->resumeAnswer(request);
    this->dependencies.metrics->openSessions = this->listener.sessions();
    this->dependencies.metrics->heldBytes = this->memory->total();
    this->dependencies.metrics->droppedForMemory = this->memory->dropped();
    this->dependencies.metrics->sessionsDisplaced = this->listener.displacedSessions();
    this->dependencies.metrics->sessionsRefused = this->listener.refusedSessions();
}

void RequestForwarder::requestReceived(const std::shared_ptr<HttpSession>& session, ReceivedRequest read)
{
    HttpRequest& message = read.message;
    const CallerFields fields = this->dependencies.dialect->readCaller(message);
    const Milliseconds now = this->dependencies.clock->now();
    const RequestNumber number = ++this->lastNumber;
    RequestArrived event;
    event.request = number;
    event.host = valueOf(message, "Host");
    event.method = std::string(message.method_string());
    event.path = std::string(message.target());
    event.requestId = fields.requestId;
    if (fields.timeLeft)
        event.timeLeft = std::max(Milliseconds{}, *fields.timeLeft - (now - read.readAt));
    auto body = holdBody(std::move(message.body()), this->memory);
    // Its session may have given way to it, with what its caller has sent ahead.
    if (!session->isOpen())
        return;
    event.bodyBytes = body->size();
    event.caller = session->caller();
    event.credential = fields.credential;
    const std::vector<std::string_view> blocks = blocksOf(*body);
    const std::span<const std::string_view> parts(blocks);
    event.digest = digestOf({ .host = event.host,
        .method = event.method,
        .path = event.path,
        .fields = hashStableFields(message, *this->dependencies.dialect),
        .body = parts.empty() ? std::string_view() : parts.front(),
        .bodyRest = parts.subspan(std::min<std::size_t>(parts.size(), 1)) });
    Request& request = this->requests[number];
    request.session = session;
    request.sessionRequest = read.number;
    request.message = std::move(message);
    request.body = std::move(body);
    request.requestId = fields.requestId;
    request.arrivedAt = now;
    request.callerSeenAt = now;
    this->requestsBySession.emplace(session->number(), number);
    this->dependencies.metrics->openRequests = this->requests.size();
    if (fields.isValid)
        return this->dependencies.sink->post(event);
    this->dependencies.sink->post(RefusedEarly{ .reason = RefusalReason::BadRequest });
    this->execute(RefuseRequest{ .request = number,
        .outcome = RefusedOutcome::NotRun,
        .reason = RefusalReason::BadRequest,
        .retryAfter = DefaultRetryAfter });
}

void RequestForwarder::requestUnreadable(
    const std::shared_ptr<HttpSession>& session, HttpRequestNumber request, HttpRequestProblem problem)
{
    this->dependencies.sink->post(RefusedEarly{ .reason = reasonOf(problem), .caller = session->caller() });
    if (statusOf(problem) == http::status::service_unavailable)
        return session->answer(request,
            this->dependencies.dialect->makeRefusal(
                { .outcome = RefusedOutcome::NotRun, .reason = reasonOf(problem), .retryAfter = DefaultRetryAfter },
                {}));
    session->answer(request, HttpResponse(statusOf(problem), HttpVersion));
}

bool RequestForwarder::mayStartEarly(const HttpRequest& request) const
{
    return this->dependencies.repeats
        && this->dependencies.repeats->mayRepeat(valueOf(request, "Host"), request.method_string(), request.target());
}

void RequestForwarder::sessionRefused()
{
    this->dependencies.sink->post(RefusedEarly{ .reason = RefusalReason::TooManySessions });
}

void RequestForwarder::callerGone(const std::shared_ptr<HttpSession>& session)
{
    std::vector<RequestNumber> gone;
    const auto [first, end] = this->requestsBySession.equal_range(session->number());
    for (auto item = first; item != end; ++item)
        gone.push_back(item->second);
    this->requestsBySession.erase(session->number());
    for (const RequestNumber number : gone) {
        // Posted before the request is erased, because handling the event cancels the request's attempts.
        this->dependencies.sink->post(CallerGone{ .request = number });
        this->requests.erase(number);
    }
    this->dependencies.metrics->openRequests = this->requests.size();
}

void RequestForwarder::removeFromSession(std::uint64_t session, RequestNumber number)
{
    const auto [first, end] = this->requestsBySession.equal_range(session);
    const auto found = std::find_if(first, end, [number](const auto& item) { return item.second == number; });
    if (found != end)
        this->requestsBySession.erase(found);
}

bool RequestForwarder::endIfCallerLeft(Request& request) const
{
    const Milliseconds now = this->dependencies.clock->now();
    if (now - request.callerSeenAt < this->options.callerCheckInterval)
        return false;
    request.callerSeenAt = now;
    // A copy, since ending the session removes its requests.
    const auto session = request.session;
    return session->endIfCallerLeft();
}

HttpRequest RequestForwarder::makeForwardedRequest(const Request& request, const SendAttempt& action) const
{
    HttpRequest message = request.message;
    removeHopByHopFields(message);
    message.version(HttpVersion);
    this->dependencies.dialect->writeAttempt(message,
        { .backendServer = action.backendServer,
            .timeLeft = action.timeLeft,
            .customer = { .withholdsKey = action.withholdsKey, .customer = action.customer } });
    return message;
}

void RequestForwarder::execute(const SendAttempt& action)
{
    const auto found = this->requests.find(action.request);
    if (found == this->requests.end())
        return;
    Request& request = found->second;
    if (this->endIfCallerLeft(request))
        return;
    HttpExchange::Options exchange;
    exchange.address = action.address;
    if (action.relay)
        exchange.relay = RelayTarget{ .relay = *action.relay, .backendServer = action.backendServer };
    EncodedMessage encoded = encode(this->makeForwardedRequest(request, action), request.body);
    exchange.request = std::move(encoded.head);
    exchange.body = std::move(encoded.body);
    exchange.requestId = request.requestId;
    exchange.memory = this->memory;
    exchange.isHeadRequest = request.message.method() == http::verb::head;
    exchange.connectTimeout = this->options.connectTimeout;
    exchange.match = [dialect = this->dependencies.dialect, id = request.requestId](
                         const HttpResponse& header) { return dialect->matchAnswer(header, id); };
    const Milliseconds now = this->dependencies.clock->now();
    exchange.headerReceived
        = [this, server = action.backendServer, life = action.life, now](
              const HttpResponse& header) { this->answerHeaderReceived(server, life, now, header); };
    const RequestNumber number = action.request;
    const AttemptNumber attempt = action.attempt;
    exchange.passOn = [this, number, attempt](const HttpResponse& header, std::optional<std::uint64_t> length) {
        return this->passOn(number, attempt, header, length);
    };
    exchange.bodyReceived
        = [this, number, attempt](HttpBody piece) { this->passBody(number, attempt, std::move(piece)); };
    Attempt& started = request.attempts[attempt];
    started.backendServer = action.backendServer;
    started.sentAt = now;
    started.exchange = std::make_shared<HttpExchange>(*this->context, std::move(exchange),
        [this, number, attempt](HttpExchangeEnd end) { this->attemptEnded(number, attempt, std::move(end)); });
    const Milliseconds longestIdle = action.mayRepeat ? Never : this->options.maxIdleForRunOnce;
    auto kept = action.relay
        ? nullptr
        : this->connections.take(action.backendServer, { .longestIdle = longestIdle, .requestId = request.requestId });
    ++(kept ? this->dependencies.metrics->connectionsReused : this->dependencies.metrics->connectionsOpened);
    started.exchange->start(std::move(kept));
}

void RequestForwarder::answerHeaderReceived(
    const std::string& backendServer, std::uint64_t life, Milliseconds sentAt, const HttpResponse& header)
{
    // The notice is not left to the end of the attempt: the server of a retry is chosen there, the body may take long
    // or break off, and a late answer to another request never ends an attempt.
    const ServerNotice notice = this->dependencies.dialect->readNotice(header, backendServer);
    if (!notice.isEmpty())
        this->dependencies.sink->post(
            ServerNoticed{ .backendServer = backendServer, .life = life, .notice = notice, .sentAt = sentAt });
    for (UnreadField& field : this->unreadFields.findNew(header, *this->dependencies.dialect))
        this->dependencies.sink->post(UnreadFieldSeen{
            .backendServer = backendServer, .field = std::move(field.name), .value = std::move(field.value) });
}

bool RequestForwarder::passOn(
    RequestNumber number, AttemptNumber attempt, const HttpResponse& header, std::optional<std::uint64_t> length)
{
    const auto found = this->requests.find(number);
    if (found == this->requests.end())
        return false;
    // The end of the connection would have to tell such a caller that the answer is whole, and does so too easily.
    if (!length && found->second.message.version() < HttpVersion)
        return false;
    Attempt& begun = found->second.attempts[attempt];
    begun.response = header;
    begun.bodyLength = length;
    this->dependencies.sink->post(AnswerBegun{ .request = number,
        .attempt = attempt,
        .end = this->dependencies.dialect->readAnswer(header, begun.backendServer) });
    // Handling the event may have ended the request.
    const auto present = this->requests.find(number);
    return present != this->requests.end() && present->second.attempts[attempt].isPassedOn;
}

void RequestForwarder::execute(const BeginAnswer& action)
{
    const auto found = this->requests.find(action.request);
    if (found == this->requests.end())
        return;
    Attempt& begun = found->second.attempts[action.attempt];
    if (!begun.response)
        return;
    begun.isPassedOn = true;
    HttpResponse header = *begun.response;
    removeHopByHopFields(header);
    this->dependencies.dialect->writeAnswer(header);
    // A copy, since the session may end its requests.
    const auto session = found->second.session;
    session->beginAnswer(found->second.sessionRequest, std::move(header), begun.bodyLength);
}

void RequestForwarder::passBody(RequestNumber number, AttemptNumber attempt, HttpBody piece)
{
    const auto found = this->requests.find(number);
    if (found == this->requests.end())
        return;
    Attempt& begun = found->second.attempts[attempt];
    begun.passedOnBytes += piece.size();
    const auto exchange = begun.exchange;
    const auto session = found->second.session;
    session->addBody(found->second.sessionRequest, std::move(piece));
    if (exchange && this->mustWaitForCaller(*session))
        exchange->pause();
}

bool RequestForwarder::mustWaitForCaller(const HttpSession& session) const
{
    return session.outgoingBytes() > this->options.maxUntakenBytes && this->memory->isScarce();
}

void RequestForwarder::resumeAnswer(const Request& request) const
{
    for (const auto& [attempt, item] : request.attempts) {
        const bool isPaused = item.exchange && item.exchange->isReadingPaused();
        if (isPaused && !this->mustWaitForCaller(*request.session))
            item.exchange->resume();
    }
}

void RequestForwarder::answersTaken(const std::shared_ptr<HttpSession>& session)
{
    const auto [first, end] = this->requestsBySession.equal_range(session->number());
    for (auto item = first; item != end; ++item)
        this->resumeAnswer(this->requests.at(item->second));
}

AttemptEnd RequestForwarder::attemptEndOf(const HttpExchangeEnd& end, const std::string& backendServer) const
{
    if (end.response) {
        AttemptEnd answered = this->dependencies.dialect->readAnswer(*end.response, backendServer);
        answered.connect = connectOutcomeOf(end);
        return answered;
    }
    AttemptEnd failed;
    failed.connect = connectOutcomeOf(end);
    const bool isNotSent = end.result == HttpExchangeResult::NotSent;
    failed.result = isNotSent ? AttemptResult::NotSent : AttemptResult::Broken;
    failed.problem = nameOf(end.problem);
    failed.hasRelayEnded = end.problem == AnswerProblem::RelayEnded;
    if (end.result == HttpExchangeResult::TimedOut)
        failed.result = AttemptResult::TimedOut;
    return failed;
}

void RequestForwarder::attemptEnded(RequestNumber number, AttemptNumber attempt, HttpExchangeEnd end)
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
    event.end.sinceHeader = end.sinceHeader;
    event.end.passedOnBytes = ended.passedOnBytes;
    this->dependencies.metrics->answersOverLimit += isOverLimit(end.problem) ? 1 : 0;
    this->returnConnection(ended.backendServer, end);
    ended.response = std::move(end.response);
    ended.exchange.reset();
    const Milliseconds took = this->dependencies.clock->now() - ended.sentAt;
    found->second.atBackendServer = took;
    this->dependencies.metrics->atBackendServer.add(took);
    this->dependencies.sink->post(event);
}

void RequestForwarder::returnConnection(const std::string& backendServer, HttpExchangeEnd& end)
{
    if (end.connection)
        this->connections.add(backendServer, std::move(end.connection));
}

void RequestForwarder::execute(const CancelAttempt& action)
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

void RequestForwarder::execute(const ForwardAnswer& action)
{
    const auto found = this->requests.find(action.request);
    if (found == this->requests.end())
        return;
    std::optional<HttpResponse> response = std::move(found->second.attempts[action.attempt].response);
    if (!response)
        return;
    this->dependencies.metrics->answered.add(this->dependencies.clock->now() - found->second.arrivedAt);
    if (found->second.attempts[action.attempt].isPassedOn) {
        const Request ended = this->removeRequest(action.request);
        return ended.session->endAnswer(ended.sessionRequest);
    }
    removeHopByHopFields(*response);
    this->dependencies.dialect->writeAnswer(*response);
    this->sendAnswer(action.request, std::move(*response));
}

void RequestForwarder::execute(const RefuseRequest& action)
{
    const auto found = this->requests.find(action.request);
    if (found == this->requests.end())
        return;
    this->dependencies.metrics->refused.add(this->dependencies.clock->now() - found->second.arrivedAt);
    HttpResponse refusal = this->dependencies.dialect->makeRefusal(action, found->second.requestId);
    const auto& attempts = found->second.attempts;
    const bool isBegun
        = std::any_of(attempts.begin(), attempts.end(), [](const auto& item) { return item.second.isPassedOn; });
    if (!isBegun)
        return this->sendAnswer(action.request, std::move(refusal));
    const Request ended = this->removeRequest(action.request);
    if (!ended.session->breakAnswer(ended.sessionRequest))
        ended.session->answer(ended.sessionRequest, std::move(refusal));
}

void RequestForwarder::sendAnswer(RequestNumber number, HttpResponse response)
{
    const Request ended = this->removeRequest(number);
    ended.session->answer(ended.sessionRequest, std::move(response));
}

RequestForwarder::Request RequestForwarder::removeRequest(RequestNumber number)
{
    const auto found = this->requests.find(number);
    Request ended = std::move(found->second);
    const Milliseconds total = this->dependencies.clock->now() - ended.arrivedAt;
    this->dependencies.metrics->added.add(total - std::min(total, ended.atBackendServer));
    for (auto& [attempt, item] : ended.attempts) {
        if (item.exchange)
            item.exchange->cancel();
    }
    this->requests.erase(found);
    this->dependencies.metrics->openRequests = this->requests.size();
    this->removeFromSession(ended.session->number(), number);
    return ended;
}

void RequestForwarder::execute(const SendProbe& action)
{
    auto kept = action.relay ? nullptr : this->connections.take(action.probe.backendServer, {});
    ++(kept ? this->dependencies.metrics->connectionsReused : this->dependencies.metrics->connectionsOpened);
    this->startProbe(action, std::move(kept));
}

void RequestForwarder::startProbe(const SendProbe& action, std::shared_ptr<HttpConnection> kept)
{
    const Probe& probe = action.probe;
    HttpRequest message(http::verb::get, probe.path, HttpVersion);
    message.set(http::field::host, probe.address.text());
    this->dependencies.dialect->writeProbe(message, probe.backendServer);
    HttpExchange::Options options;
    options.address = probe.address;
    if (action.relay)
        options.relay = RelayTarget{ .relay = *action.relay, .backendServer = probe.backendServer };
    options.request = encode(std::move(message));
    options.connectTimeout = this->options.connectTimeout;
    options.timeout = probe.timeout;
    options.maxAnswerBytes = MaxProbeAnswerBytes;
    // A surplus answer to a request on the same connection is none to the probe.
    options.match = [dialect = this->dependencies.dialect](
                        const HttpResponse& header) { return dialect->matchAnswer(header, {}); };
    options.headerReceived
        = [this, server = probe.backendServer, life = probe.life, now = this->dependencies.clock->now()](
              const HttpResponse& header) { this->answerHeaderReceived(server, life, now, header); };
    const bool wasKept = kept != nullptr;
    const auto exchange = std::make_shared<HttpExchange>(*this->context, std::move(options),
        [this, action, wasKept](HttpExchangeEnd end) { this->probeEnded(action, wasKept, std::move(end)); });
    exchange->start(std::move(kept));
}

void RequestForwarder::probeEnded(const SendProbe& action, bool wasKept, HttpExchangeEnd end)
{
    const Probe& probe = action.probe;
    const bool wasClosed = end.result == HttpExchangeResult::Broken || end.result == HttpExchangeResult::NotSent;
    // The server may have closed the idle connection just before the probe was sent; try a new connection.
    if (wasKept && wasClosed)
        return this->startProbe(action, nullptr);
    ProbeEnd ended;
    if (end.response)
        ended = this->dependencies.dialect->readProbe(*end.response, probe.backendServer);
    this->returnConnection(probe.backendServer, end);
    this->dependencies.sink->post(ProbeEnded{ .probe = probe.number, .end = ended });
}

void RequestForwarder::execute(const CheckServer& action)
{
    if (action.relay)
        return this->checkThroughRelay(action);
    openConnection(*this->context, action.address, this->options.connectTimeout,
        [this, action](const asio::error_code& error, std::shared_ptr<HttpConnection> opened) {
            if (opened)
                this->connections.add(action.backendServer, std::move(opened));
            this->dependencies.sink->post(ServerChecked{ .backendServer = action.backendServer,
                .result = connectOutcomeOf(error),
                .isForPath = action.isForPath });
        });
}

void RequestForwarder::checkThroughRelay(const CheckServer& action)
{
    openRelayedConnection(*this->context, { .relay = *action.relay, .backendServer = action.backendServer },
        HttpExchange::Options{}.relayTimeout, [this, action](const RelayAnswer& answer) {
            this->dependencies.sink->post(ServerChecked{ .backendServer = action.backendServer,
                .result = connectOutcomeOf(answer.reply),
                .relay = action.relay,
                .isForPath = action.isForPath });
        });
}

void RequestForwarder::execute(const StopSendingTo& action)
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

void RequestForwarder::execute(const SetCallerLimits& action)
{
    this->acceptTimer.cancel();
    this->listener.beginAccepting();
    this->listener.setLimits({ .headerBytes = action.limits.headerBytes,
        .bodyBytes = action.limits.bodyBytes,
        .headerTimeout = action.limits.headerTimeout,
        .idleTimeout = action.limits.idleTimeout });
}

}
