#include "Http/HttpExchange.h"

#include "Base/ChronoDuration.h"

#include <algorithm>
#include <asio/connect.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <limits>
#include <utility>
#include <vector>

namespace burlreach {

namespace {

namespace http = boost::beast::http;

/** Also bounds what must be held until it can be parsed: a line that frames a chunk, and the trailer. */
constexpr std::uint32_t MaxHeaderBytes = 65536;
/** Bytes besides the body, in headers, the framing of chunks and skipped answers. */
constexpr std::size_t MaxOtherBytes = 1048576;
/** A server sends an interim answer or two, and one surplus answer at most before its connection is closed. */
constexpr unsigned MaxSkippedAnswers = 16;
constexpr double MillisecondsPerSecond = 1000;

AnswerProblem problemOf(const boost::beast::error_code& error)
{
    const bool isTooLong = error == http::error::header_limit || error == http::error::body_limit;
    return isTooLong ? AnswerProblem::TooLong : AnswerProblem::Invalid;
}

Milliseconds sinceTime(TimerClock::time_point start)
{
    return { std::chrono::duration<double, std::milli>(TimerClock::now() - start).count() };
}

}

HttpExchange::HttpExchange(asio::io_context& givenContext, Options givenOptions, Completion givenCompletion)
    : options(std::move(givenOptions))
    , completion(std::move(givenCompletion))
    , request{ .head = std::move(this->options.request), .body = std::move(this->options.body) }
    , context(&givenContext)
    , timer(givenContext)
    , holdTimer(givenContext)
{
}

HttpExchange::~HttpExchange()
{
    this->leaveMemory();
}

void HttpExchange::leaveMemory()
{
    if (this->options.memory)
        this->options.memory->remove(*this);
}

DropOrder HttpExchange::dropOrder() const
{
    // An answer without a declared length may have no end.
    const bool isDeclared
        = this->parser && this->parser->is_header_done() && this->parser->content_length().has_value();
    return isDeclared ? DropOrder::Late : DropOrder::Usual;
}

void HttpExchange::dropBytes()
{
    this->finishBroken(AnswerProblem::MemoryFull);
}

void HttpExchange::start(std::shared_ptr<HttpConnection> kept)
{
    this->resetParser();
    if (!kept)
        return this->connect();
    this->isReused = true;
    this->connection = std::move(kept);
    this->startTimeout(this->options.timeout, HttpExchangeResult::TimedOut);
    this->write();
}

void HttpExchange::resetParser()
{
    this->isHeaderAccepted = false;
    this->matched = AnswerMatch::Own;
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->skip(this->options.isHeadRequest);
    this->parser->header_limit(MaxHeaderBytes);
    this->parser->body_limit(this->options.maxAnswerBytes);
}

void HttpExchange::startTimeout(Milliseconds duration, HttpExchangeResult result)
{
    this->timer.cancel();
    // Cancelling does not stop a handler that is already queued; the number identifies the timeout in force.
    const unsigned limit = ++this->timeoutNumber;
    if (duration == Never)
        return;
    this->timer.expires_after(toDuration(duration));
    this->timer.async_wait([self = this->shared_from_this(), result, limit](const asio::error_code& error) {
        if (!error && !self->isFinished && limit == self->timeoutNumber)
            self->finish(result, std::nullopt);
    });
}

void HttpExchange::connect()
{
    asio::error_code error;
    const std::optional<RelayTarget>& relay = this->options.relay;
    const NetworkAddress& address = relay ? relay->relay : this->options.address;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.host, error), address.port);
    this->connection = std::make_shared<HttpConnection>(asio::ip::tcp::socket(*this->context));
    this->connectError = asio::error::timed_out; // until the connection is established or fails
    if (relay)
        this->relayReply = RelayReply::Unreached; // until the relay has answered
    const Milliseconds longest = relay ? this->options.relayTimeout : this->options.connectTimeout;
    this->startTimeout(std::min(longest, this->options.timeout), HttpExchangeResult::NotSent);
    this->connection->socket.async_connect(
        endpoint, [self = this->shared_from_this()](const asio::error_code& failure) {
            if (self->isFinished)
                return;
            self->connectError = failure;
            if (failure)
                return self->finish(HttpExchangeResult::NotSent, std::nullopt);
            self->connected();
        });
}

void HttpExchange::connected()
{
    asio::error_code ignored;
    this->connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->connection->socket.non_blocking(true, ignored);
    const auto begin = [self = this->shared_from_this()] {
        self->startTimeout(self->options.timeout, HttpExchangeResult::TimedOut);
        self->write();
    };
    if (!this->options.relay)
        return begin();
    requestRelay(this->connection, this->options.relay->backendServer,
        [self = this->shared_from_this(), begin](const RelayAnswer& answer) {
            if (self->isFinished)
                return;
            self->relayReply = answer.reply;
            if (answer.reply != RelayReply::Connected)
                return self->finish(HttpExchangeResult::NotSent, std::nullopt);
            if (answer.isInChunks)
                self->relayed.emplace();
            begin();
        });
}

void HttpExchange::write()
{
    this->isWritingBegun = true;
    // The handler keeps the exchange, and so the bytes, until the write has ended.
    std::vector<asio::const_buffer> buffers;
    addBuffers(this->request, buffers);
    asio::async_write(this->connection->socket, buffers,
        [self = this->shared_from_this(), kept = this->connection](const asio::error_code& error, std::size_t size) {
            if (self->isFinished)
                return;
            if (error && !size)
                return self->finish(HttpExchangeResult::NotSent, std::nullopt);
            // After any other write error, the server's answer may still be readable.
            self->isWritten = !error;
            self->isWriteOver = true;
            if (self->hasConnectionEnded)
                self->connectionEnded();
        });
    this->read();
}

void HttpExchange::resume()
{
    this->isPaused = false;
    if (std::exchange(this->isReadDue, false) && !this->isFinished)
        this->read();
}

void HttpExchange::read()
{
    if (this->isPaused) {
        this->isReadDue = true;
        return;
    }
    this->connection->socket.async_read_some(
        asio::buffer(this->chunk), [self = this->shared_from_this()](const asio::error_code& error, std::size_t size) {
            self->received(error, size);
        });
}

void HttpExchange::received(const asio::error_code& error, std::size_t size)
{
    if (this->isFinished)
        return;
    if (error)
        return this->readingEnded(error);
    if (this->isHoldWatched)
        this->lastReadAt = TimerClock::now();
    if (!this->addInput({ this->chunk.data(), size }))
        return this->finishBroken(AnswerProblem::Invalid);
    if (this->options.isIdleTimeout)
        this->startTimeout(this->options.timeout, HttpExchangeResult::TimedOut);
    this->parse();
}

bool HttpExchange::addInput(std::string_view bytes)
{
    this->receivedBytes += bytes.size();
    if (this->relayed)
        return this->relayed->read(bytes, this->input);
    this->input.append(bytes);
    return true;
}

bool HttpExchange::awaitsServerEnd() const
{
    return this->relayed && !this->relayed->hasServerEnded();
}

void HttpExchange::readingEnded(const asio::error_code& error)
{
    if (error == asio::error::eof && this->awaitsServerEnd())
        return this->finishBroken(AnswerProblem::RelayEnded);
    // An answer without a length ends with an orderly close, not with a reset.
    if (error != asio::error::eof || !this->isAnswerWithoutLength())
        return this->finishBroken(AnswerProblem::ConnectionEnded);
    this->hasConnectionEnded = true;
    if (this->isWriteOver)
        this->connectionEnded();
}

void HttpExchange::connectionEnded()
{
    if (this->isWritten && this->finishAnswerWithoutLength())
        return this->answerComplete();
    this->finishBroken(AnswerProblem::ConnectionEnded);
}

bool HttpExchange::isAnswerWithoutLength() const
{
    return this->parser->is_header_done() && this->parser->need_eof();
}

bool HttpExchange::isServerEndKnown() const
{
    // An instance of an older version relays the bytes as they are, so that its own end looks like the server's.
    return !this->options.relay || this->relayed;
}

bool HttpExchange::finishAnswerWithoutLength()
{
    if (!this->isServerEndKnown() || !this->input.empty())
        return false;
    boost::beast::error_code error;
    this->parser->put_eof(error);
    return !error && this->parser->is_done();
}

void HttpExchange::parse()
{
    while (!this->input.empty()) {
        boost::beast::error_code error;
        const std::size_t used = this->parser->put(boost::asio::buffer(this->input), error);
        this->input.erase(0, used);
        if (!this->acceptHeader())
            return;
        if (error && error != http::error::need_more)
            return this->finishBroken(problemOf(error));
        if (!this->passBody() || !this->isWithinLimits())
            return;
        if (this->parser->is_done())
            return this->answerComplete();
        if (error == http::error::need_more || !used)
            break;
    }
    if (this->relayed && this->relayed->hasServerEnded())
        return this->readingEnded(asio::error::eof);
    this->watchHold();
    this->read();
}

void HttpExchange::watchHold()
{
    if (!this->options.passOn || this->isHoldWatched || !this->mayPassOn())
        return;
    this->isHoldWatched = true;
    this->headerAt = TimerClock::now();
    this->lastReadAt = this->headerAt;
    this->holdExpired();
}

void HttpExchange::holdExpired()
{
    auto passesOnAt = this->lastReadAt + toDuration(this->options.longestPause);
    // What comes fast is soon whole or found to be endless, and then another server may answer.
    if (this->receivedBytes <= this->options.littleData)
        passesOnAt = std::min(passesOnAt, this->headerAt + toDuration(this->options.longestHold));
    // A server that answers before it has the request often resets the connection.
    if (!this->isWritten)
        passesOnAt = std::max(passesOnAt, TimerClock::now() + toDuration(this->options.longestPause));
    if (TimerClock::now() >= passesOnAt) {
        HttpResponse header;
        header.base() = this->parser->get().base();
        const auto length = this->parser->content_length();
        this->isPassedOn = this->options.passOn(header, length ? std::optional<std::uint64_t>(*length) : std::nullopt);
        if (!this->isFinished)
            this->passBody();
        return;
    }
    this->holdTimer.expires_at(passesOnAt);
    this->holdTimer.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
        if (error || self->isFinished)
            return;
        // Bytes that wait to be read are no pause of the server.
        asio::error_code ignored;
        if (self->connection->socket.available(ignored))
            self->lastReadAt = TimerClock::now();
        self->holdExpired();
    });
}

bool HttpExchange::mayPassOn() const
{
    const bool isOwn = this->isHeaderAccepted && this->matched == AnswerMatch::Own;
    if (!isOwn || isInterim(this->parser->get()))
        return false;
    return !this->isAnswerWithoutLength() || this->isServerEndKnown();
}

bool HttpExchange::passBody()
{
    if (!this->isPassedOn || !this->parser->get().body().size())
        return true;
    this->options.bodyReceived(std::exchange(this->parser->get().body(), {}));
    return !this->isFinished;
}

bool HttpExchange::isWithinLimits()
{
    const std::size_t mostBytes = this->options.maxAnswerBytes + MaxOtherBytes;
    if (this->input.size() > MaxHeaderBytes || this->receivedBytes > mostBytes) {
        this->finishBroken(AnswerProblem::TooLong);
        return false;
    }
    if (this->options.memory)
        this->options.memory->set(*this, this->parser->get().body().size() + this->input.size());
    // The memory may have dropped this answer, or another one whose end cancelled this exchange.
    return !this->isFinished;
}

bool HttpExchange::acceptHeader()
{
    if (this->isHeaderAccepted || !this->parser->is_header_done())
        return true;
    this->isHeaderAccepted = true;
    const HttpResponse& header = this->parser->get();
    if (this->options.match && !isInterim(header))
        this->matched = this->options.match(header);
    if (!hasUsableStatus(header) || this->matched == AnswerMatch::NoAnswer) {
        this->finishBroken(AnswerProblem::NoAnswer);
        return false;
    }
    if (this->options.headerReceived)
        this->options.headerReceived(header);
    // The callback may have cancelled the exchange.
    return !this->isFinished;
}

void HttpExchange::answerComplete()
{
    HttpResponse response = this->parser->release();
    const bool isFinal = !isInterim(response);
    if (isFinal && this->matched == AnswerMatch::Own)
        return this->finish(HttpExchangeResult::Answered, std::move(response));
    const bool isConnectionOver = !this->connection->socket.is_open() || response.need_eof();
    if (isFinal && isConnectionOver)
        return this->finishBroken(AnswerProblem::OtherRequest);
    if (++this->skippedAnswers > MaxSkippedAnswers)
        return this->finishBroken(AnswerProblem::TooManyAnswers);
    this->hasSkippedAnswer = this->hasSkippedAnswer || isFinal;
    this->resetParser();
    this->parse();
}

bool HttpExchange::mayReuseConnection(const HttpResponse& response) const
{
    return !this->options.relay && this->isWritten && !this->hasSkippedAnswer && this->input.empty()
        && response.keep_alive() && !response.need_eof();
}

void HttpExchange::finishBroken(AnswerProblem why)
{
    this->problem = why;
    this->finish(HttpExchangeResult::Broken, std::nullopt);
}

void HttpExchange::finish(HttpExchangeResult result, std::optional<HttpResponse> response)
{
    this->isFinished = true;
    this->timer.cancel();
    this->holdTimer.cancel();
    this->leaveMemory();
    HttpExchangeEnd end;
    if (this->isHoldWatched)
        end.sinceHeader = sinceTime(this->headerAt);
    end.result = result;
    end.problem = this->problem;
    end.isReused = this->isReused;
    end.connectError = this->connectError;
    end.relayReply = this->relayReply;
    if (response && this->mayReuseConnection(*response)) {
        const double seconds = keepAliveSeconds(*response);
        if (seconds >= 0)
            this->connection->keepAliveTimeout = { seconds * MillisecondsPerSecond };
        ++this->connection->exchanges;
        this->connection->noteCarried(this->options.requestId);
        end.connection = std::move(this->connection);
    }
    if (response)
        this->closeConnection();
    else
        this->resetConnection();
    end.response = std::move(response);
    const Completion complete = std::move(this->completion);
    complete(std::move(end));
}

void HttpExchange::abortUnsent()
{
    if (this->isFinished || this->isWritingBegun)
        return;
    this->connectError = asio::error::operation_aborted;
    this->finish(HttpExchangeResult::NotSent, std::nullopt);
}

void HttpExchange::cancel()
{
    this->isFinished = true;
    this->timer.cancel();
    this->holdTimer.cancel();
    this->leaveMemory();
    this->resetConnection();
    this->completion = nullptr;
}

void HttpExchange::resetConnection()
{
    asio::error_code ignored;
    if (this->connection)
        this->connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->closeConnection();
}

void HttpExchange::closeConnection()
{
    if (!this->connection)
        return;
    asio::error_code ignored;
    this->connection->socket.close(ignored);
    this->connection.reset();
}

}
