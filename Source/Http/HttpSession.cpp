#include "Http/HttpSession.h"

#include <asio/write.hpp>
#include <limits>
#include <utility>

namespace burlreach {

namespace {

namespace http = boost::beast::http;

/** A caller that sends more ahead than this is not read on until it has its answer. */
constexpr std::size_t MostReadAhead = 65536;

}

HttpSession::HttpSession(asio::ip::tcp::socket givenSocket, std::uint64_t givenNumber, HttpSessionHandler& givenHandler,
    const Clock& givenClock, const HttpSessionLimits& givenLimits)
    : socket(std::move(givenSocket))
    , sessionNumber(givenNumber)
    , handler(&givenHandler)
    , clock(&givenClock)
    , limits(&givenLimits)
    , lastActive(givenClock.now())
{
}

void HttpSession::start()
{
    asio::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->newParser();
    this->read();
}

void HttpSession::newParser()
{
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->header_limit(static_cast<std::uint32_t>(this->limits->headerBytes));
    this->parser->body_limit(this->limits->bodyBytes);
    this->requestBegan = Never;
    this->wasContinued = false;
}

bool HttpSession::isIdle() const
{
    return this->state == State::Reading && this->input.empty() && this->requestBegan == Never
        && !this->hasUnreadBytes();
}

bool HttpSession::hasUnreadBytes() const
{
    asio::error_code error;
    return this->socket.available(error) > 0 && !error;
}

void HttpSession::close()
{
    asio::error_code ignored;
    this->socket.close(ignored);
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
    if (error) {
        const bool isAwaited = this->state == State::Answering;
        this->close();
        if (isAwaited)
            this->handler->callerGone(this->shared_from_this());
        return;
    }
    this->lastActive = this->clock->now();
    this->input.append(this->chunk.data(), size);
    if (this->state == State::Reading)
        return this->parse();
    if (this->input.size() < MostReadAhead)
        this->read();
}

void HttpSession::parse()
{
    while (!this->input.empty()) {
        if (this->requestBegan == Never)
            this->requestBegan = this->clock->now();
        boost::beast::error_code error;
        const std::size_t used = this->parser->put(boost::asio::buffer(this->input), error);
        this->input.erase(0, used);
        if (error == http::error::header_limit)
            return this->unreadable(HttpRequestProblem::HeaderTooLarge);
        if (error == http::error::body_limit)
            return this->unreadable(HttpRequestProblem::BodyTooLarge);
        if (error && error != http::error::need_more)
            return this->unreadable(HttpRequestProblem::Malformed);
        if (this->parser->is_done())
            return this->requestParsed();
        if (error == http::error::need_more || !used)
            break;
    }
    this->continueIfAsked();
    this->read();
}

void HttpSession::continueIfAsked()
{
    if (this->wasContinued || !this->parser->is_header_done())
        return;
    this->wasContinued = true;
    if (!http::token_list(this->parser->get()[http::field::expect]).exists("100-continue"))
        return;
    static const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(this->socket, asio::buffer(interim),
        [self = this->shared_from_this()](const asio::error_code&, std::size_t) {});
}

void HttpSession::requestParsed()
{
    HttpRequest request = this->parser->release();
    this->state = State::Answering;
    this->isHead = request.method() == http::verb::head;
    this->version = request.version();
    this->keepsAlive = request.keep_alive();
    this->newParser();
    this->read();
    this->handler->requestRead(this->shared_from_this(), std::move(request));
}

void HttpSession::unreadable(HttpRequestProblem problem)
{
    this->state = State::Answering;
    this->isLast = true;
    this->input.clear();
    this->handler->requestUnreadable(this->shared_from_this(), problem);
}

void HttpSession::answer(HttpResponse response)
{
    if (this->state != State::Answering || !this->socket.is_open())
        return;
    this->state = State::Writing;
    const bool closes = this->isLast || !this->keepsAlive;
    response.version(this->version);
    response.keep_alive(!closes);
    this->write(encode(std::move(response), this->isHead), closes);
}

void HttpSession::write(std::string bytes, bool closes)
{
    this->output = std::move(bytes);
    asio::async_write(this->socket, asio::buffer(this->output),
        [self = this->shared_from_this(), closes](
            const asio::error_code& error, std::size_t) { self->written(error, closes); });
}

void HttpSession::written(const asio::error_code& error, bool closes)
{
    if (!this->socket.is_open())
        return;
    if (error)
        return this->close();
    this->lastActive = this->clock->now();
    this->output.clear();
    if (closes) {
        // What the caller still sends is read, or closing would reset the answer away.
        asio::error_code ignored;
        this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }
    this->state = closes ? State::Writing : State::Reading;
    this->input = closes ? std::string() : std::move(this->input);
    if (closes)
        return this->read();
    this->parse();
}

void HttpSession::tend(Milliseconds now)
{
    if (!this->socket.is_open() || this->state == State::Answering)
        return;
    const bool isSlow = this->state == State::Reading && !this->parser->is_header_done() && this->requestBegan != Never
        && now - this->requestBegan > this->limits->headerTimeout;
    if (isSlow)
        return this->unreadable(HttpRequestProblem::TooSlow);
    if (now - this->lastActive > this->limits->idleTimeout && !this->hasUnreadBytes())
        this->close();
}

}
