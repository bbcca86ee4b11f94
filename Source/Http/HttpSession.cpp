#include "Http/HttpSession.h"

#include <algorithm>
#include <asio/completion_condition.hpp>
#include <asio/write.hpp>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace burlreach {

namespace {

namespace http = boost::beast::http;

/** In bytes. While more is buffered than this, nothing is read from the caller. */
constexpr std::size_t MaxReadAheadBytes = 65536;
/**
 * The number of pipelined requests of one connection that may be in progress or
 * have an unwritten answer. Bounds the share of the instance's capacity that one
 * caller can take by pipelining or by reading slowly.
 */
constexpr std::size_t MaxUnfinishedRequests = 8;

/** After the last answer, for as long what the caller still sends is read and dropped. */
constexpr Milliseconds LingerTime{ 3000 };
/** A session that receives a request without progress for this long gives way before others. */
constexpr Milliseconds StallTime{ 1000 };
/** The same for an answer: the kernel tells of a slow reader only when it has taken a megabyte or so. */
constexpr Milliseconds WriteStallTime{ 5000 };
/** The caller of a session that was active within this time may be about to send a request. */
constexpr Milliseconds RecentTime{ 200 };
/** In bytes. Sessions that hold less are not counted: buffers of this size belong to each session. */
constexpr std::size_t UncountedBytes = 4096;
/** What may have arrived on a connection and is not read: the kernel keeps twice the size that was set. */
constexpr std::size_t UnreadBytes = 2 * SessionReceiveBytes;

HttpRequestProblem problemOf(const boost::beast::error_code& error)
{
    if (error == http::error::header_limit)
        return HttpRequestProblem::HeaderTooLarge;
    return error == http::error::body_limit ? HttpRequestProblem::BodyTooLarge : HttpRequestProblem::Malformed;
}

}

HttpSession::HttpSession(Accepted accepted, std::uint64_t givenNumber, HttpSessionHandler& givenHandler,
    const Clock& givenClock, const HttpSessionLimits& givenLimits)
    : socket(std::move(accepted.socket))
    , callerAddress(std::move(accepted.caller))
    , sessionNumber(givenNumber)
    , handler(&givenHandler)
    , clock(&givenClock)
    , limits(&givenLimits)
    , memory(std::move(accepted.memory))
    , lastActive(givenClock.now())
{
}

HttpSession::~HttpSession()
{
    if (this->memory)
        this->memory->remove(*this);
}

std::size_t HttpSession::incomingBytes() const
{
    std::size_t bytes = this->input.size() + this->headerBytes + (this->hasMoreToRead ? UnreadBytes : 0);
    if (this->parser)
        bytes += this->parser->get().body().size();
    if (this->completeRequest)
        bytes += this->completeRequest->message.body().size();
    return bytes;
}

bool HttpSession::holdsRequest() const
{
    const bool isReceiving = this->completeRequest || this->requestBeganAt != Never;
    return isReceiving && this->incomingBytes() >= this->outgoingBytes();
}

DropOrder HttpSession::dropOrder() const
{
    // Whole requests that came before the refused one are at work.
    if (this->isRefused || this->isClosing)
        return this->answers.hasUnanswered() ? DropOrder::Last : DropOrder::Early;
    const Milliseconds quiet = this->clock->now() - this->lastActive;
    if (this->holdsRequest())
        return quiet >= StallTime ? DropOrder::Early : DropOrder::Usual;
    return this->isWriting() && quiet >= WriteStallTime ? DropOrder::Early : DropOrder::Last;
}

void HttpSession::dropBytes()
{
    const bool isRefusable = !this->isRefused && !this->isClosing && this->holdsRequest();
    if (isRefusable)
        this->reportUnreadable(HttpRequestProblem::MemoryFull);
    else
        this->abandon();
}

CloseOrder HttpSession::closeOrder(Milliseconds now) const
{
    const Milliseconds quiet = now - this->lastActive;
    if (this->completeRequest || this->answers.hasUnanswered())
        return CloseOrder::Never;
    if (this->isWriting())
        return quiet >= WriteStallTime ? CloseOrder::Stalled : CloseOrder::Never;
    if (this->isClosing)
        return CloseOrder::Answered;
    if (this->requestBeganAt == Never)
        return quiet >= RecentTime ? CloseOrder::Idle : CloseOrder::Never;
    if (quiet >= StallTime)
        return CloseOrder::Stalled;
    return now - this->requestBeganAt >= StallTime ? CloseOrder::Receiving : CloseOrder::Never;
}

void HttpSession::giveWay()
{
    // The refusal is written at once, as far as the connection takes it.
    if (this->requestBeganAt != Never && !this->isUnfinished() && !this->isClosing)
        this->reportUnreadable(HttpRequestProblem::TooManySessions);
    this->close();
}

void HttpSession::noteMemory()
{
    if (!this->memory)
        return;
    const std::size_t bytes = this->socket.is_open() ? this->incomingBytes() + this->outgoingBytes() : 0;
    const bool wasCounted = std::exchange(this->isCounted, bytes >= UncountedBytes);
    if (this->isCounted)
        this->memory->set(*this, bytes);
    else if (wasCounted)
        this->memory->remove(*this);
}

void HttpSession::start()
{
    asio::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->resetParser();
    this->read();
}

void HttpSession::resetParser()
{
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->header_limit(static_cast<std::uint32_t>(this->limits->headerBytes));
    this->parser->body_limit(this->limits->bodyBytes);
    this->requestBeganAt = Never;
    this->headerBytes = 0;
    this->isContinueHandled = false;
}

bool HttpSession::isIdle() const
{
    return this->awaitsRequest() && this->input.empty() && this->requestBeganAt == Never && !this->hasUnreadBytes();
}

bool HttpSession::hasUnreadBytes() const
{
    asio::error_code error;
    return this->socket.available(error) > 0 && !error;
}

bool HttpSession::hasCallerLeft()
{
    const auto handle = this->socket.native_handle();
    char next = 0;
    const auto size = recv(handle, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
    if (size == 0)
        return true;
    if (size < 0)
        return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
    // The end of the stream lies behind unread bytes.
    pollfd state{ .fd = handle, .events = POLLRDHUP, .revents = 0 };
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

bool HttpSession::endIfCallerLeft()
{
    if (this->socket.is_open() && this->hasCallerLeft())
        this->abandon();
    return !this->socket.is_open();
}

void HttpSession::close()
{
    asio::error_code ignored;
    this->socket.close(ignored);
    // Released now: handlers that are queued may keep the session for a while.
    this->input.clear();
    this->completeRequest.reset();
    this->parser.reset();
    this->noteMemory();
}

void HttpSession::read()
{
    if (this->isReading || !this->socket.is_open())
        return;
    this->isReading = true;
    this->socket.async_read_some(
        asio::buffer(this->chunk), [self = this->shared_from_this()](const asio::error_code& error, std::size_t size) {
            self->isReading = false;
            self->received(error, size);
        });
}

void HttpSession::received(const asio::error_code& error, std::size_t size)
{
    if (!this->socket.is_open())
        return;
    if (error)
        return this->abandon();
    this->lastActive = this->clock->now();
    this->input.append(this->chunk.data(), size);
    this->hasMoreToRead = size == this->chunk.size();
    this->processInput();
}

void HttpSession::abandon()
{
    this->close();
    if (this->answers.hasUnanswered())
        this->handler->callerGone(this->shared_from_this());
}

void HttpSession::processInput()
{
    while (this->socket.is_open() && this->mayParse()) {
        if (!this->completeRequest && !this->parse())
            break;
        if (!this->mayStart(this->completeRequest->message))
            break;
        // The request may have waited to be accepted or read for longer than its caller waited for the answer.
        if (this->endIfCallerLeft())
            return;
        this->startRequest();
    }
    if (this->isClosing || this->isRefused)
        this->input.clear();
    this->noteMemory();
    if (!this->socket.is_open())
        return;
    this->sendContinueIfExpected();
    if (this->input.size() < MaxReadAheadBytes)
        this->read();
}

bool HttpSession::mayParse() const
{
    const bool isLastBegun = this->closesAfterNewest && this->isUnfinished();
    return !this->isClosing && !isLastBegun && this->answers.mayReadNext()
        && this->answers.size() < MaxUnfinishedRequests;
}

bool HttpSession::parse()
{
    while (!this->input.empty()) {
        if (this->requestBeganAt == Never)
            this->requestBeganAt = this->clock->now();
        boost::beast::error_code error;
        const bool wasInHeader = !this->parser->is_header_done();
        const std::size_t used = this->parser->put(boost::asio::buffer(this->input), error);
        this->input.erase(0, used);
        if (wasInHeader)
            this->headerBytes = std::min(this->headerBytes + used, this->limits->headerBytes);
        if (error && error != http::error::need_more) {
            this->reportUnreadable(problemOf(error));
            return false;
        }
        if (this->parser->is_done()) {
            this->completeRequest = { .number = 0, .message = this->parser->release(), .readAt = this->clock->now() };
            this->resetParser();
            return true;
        }
        if (error == http::error::need_more || !used)
            break;
    }
    return false;
}

bool HttpSession::mayStart(const HttpRequest& request) const
{
    return !this->isUnfinished() || this->handler->mayStartEarly(request);
}

void HttpSession::startRequest()
{
    ReceivedRequest request = std::move(*this->completeRequest);
    this->completeRequest.reset();
    request.number = this->answers.addRequest({ .version = request.message.version(),
        .isHeadRequest = request.message.method() == http::verb::head,
        .keepsConnection = request.message.keep_alive() });
    // From now on the handler holds it.
    this->noteMemory();
    this->handler->requestReceived(this->shared_from_this(), std::move(request));
}

void HttpSession::sendContinueIfExpected()
{
    // While an earlier request is unanswered, the caller would take an interim answer for the answer to that request.
    if (this->isContinueHandled || this->isUnfinished() || !this->parser->is_header_done())
        return;
    this->isContinueHandled = true;
    if (!http::token_list(this->parser->get()[http::field::expect]).exists("100-continue"))
        return;
    static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(this->socket, asio::buffer(interim),
        [self = this->shared_from_this()](const asio::error_code&, std::size_t) {});
}

void HttpSession::reportUnreadable(HttpRequestProblem problem)
{
    this->closesAfterNewest = true;
    this->isRefused = true;
    this->input.clear();
    this->completeRequest.reset();
    this->resetParser();
    const HttpRequestNumber request = this->answers.addRequest({ .keepsConnection = false });
    this->handler->requestUnreadable(this->shared_from_this(), request, problem);
}

void HttpSession::answer(HttpRequestNumber request, HttpResponse response)
{
    if (this->socket.is_open() && this->answers.setAnswer(request, std::move(response)))
        this->writeReady();
}

void HttpSession::beginAnswer(HttpRequestNumber request, HttpResponse header, std::optional<std::uint64_t> length)
{
    if (this->socket.is_open() && this->answers.beginAnswer(request, std::move(header), length))
        this->writeReady();
}

void HttpSession::addBody(HttpRequestNumber request, HttpBody piece)
{
    if (!this->socket.is_open())
        return;
    this->answers.addBody(request, std::move(piece));
    if (this->isWriting())
        return this->noteMemory();
    this->writeReady();
}

void HttpSession::endAnswer(HttpRequestNumber request)
{
    if (!this->socket.is_open())
        return;
    this->lastActive = this->clock->now();
    this->answers.endAnswer(request);
    this->writeReady();
    if (!this->isWriting())
        this->processInput();
}

bool HttpSession::breakAnswer(HttpRequestNumber request)
{
    if (!this->socket.is_open())
        return true;
    if (this->answers.withdrawAnswer(request))
        return false;
    this->answers.clear();
    this->closesAfterNewest = true;
    this->isRefused = true;
    this->isClosing = true;
    this->input.clear();
    this->completeRequest.reset();
    this->resetParser();
    this->noteMemory();
    // Answers to earlier requests may still be on their way to the caller.
    if (!this->isWriting())
        this->endSending();
    this->handler->callerGone(this->shared_from_this());
    return true;
}

void HttpSession::endSending()
{
    this->lingersUntil = this->clock->now() + LingerTime;
    // Closing the socket while the caller still sends would reset the connection, and the caller could lose the answer.
    asio::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void HttpSession::writeReady()
{
    if (this->isWriting())
        return;
    this->output = this->answers.takeReady(this->closesAfterNewest);
    if (!this->isWriting()) {
        // Of an answer with a length, nothing is left to be written at its end.
        if (this->output.isLast) {
            this->isClosing = true;
            this->endSending();
        }
        return;
    }
    this->isClosing = this->output.isLast;
    this->noteMemory();
    if (!this->socket.is_open())
        return;
    std::vector<asio::const_buffer> buffers;
    for (const EncodedMessage& message : this->output.messages)
        addBuffers(message, buffers);
    // A caller that takes its answer slowly is not idle.
    const auto notingProgress = [self = this->shared_from_this()](const asio::error_code& error, std::size_t size) {
        self->lastActive = self->clock->now();
        return asio::transfer_all()(error, size);
    };
    asio::async_write(this->socket, buffers, notingProgress,
        [self = this->shared_from_this()](const asio::error_code& error, std::size_t) { self->written(error); });
}

void HttpSession::written(const asio::error_code& error)
{
    if (!this->socket.is_open())
        return;
    if (error)
        return this->abandon();
    this->lastActive = this->clock->now();
    this->output = {};
    if (this->isClosing)
        this->endSending();
    this->writeReady();
    if (this->answers.hasUnanswered())
        this->handler->answersTaken(this->shared_from_this());
    this->processInput();
}

void HttpSession::enforceTimeLimits(Milliseconds now)
{
    if (this->hasMoreToRead && !this->hasUnreadBytes()) {
        this->hasMoreToRead = false;
        this->noteMemory();
    }
    // While too much is unread nothing is read, so that the end of the connection is not seen.
    if (!this->isReading && this->isUnfinished() && this->endIfCallerLeft())
        return;
    if (!this->socket.is_open() || this->answers.hasUnanswered())
        return;
    if (now >= this->lingersUntil)
        return this->close();
    const bool isSlow = this->awaitsRequest() && !this->parser->is_header_done() && this->requestBeganAt != Never
        && now - this->requestBeganAt > this->limits->headerTimeout;
    if (isSlow)
        return this->reportUnreadable(HttpRequestProblem::TooSlow);
    if (now - this->lastActive > this->limits->idleTimeout && !this->hasUnreadBytes())
        this->close();
}

}
