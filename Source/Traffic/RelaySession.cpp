#include "Traffic/RelaySession.h"

#include "Http/HttpMessage.h"
#include "Http/RelayRequest.h"
#include "Http/RelayStreamReader.h"

#include <asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <utility>

namespace burlreach {

namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t MaxHeaderBytes = 4096;
constexpr std::chrono::milliseconds RequestTimeout{ 1000 };
/** The other instance closes the connection when its request has ended; this bounds the time if it is gone. */
constexpr std::chrono::milliseconds IdleTimeout{ 300000 };

}

RelaySession::RelaySession(RelayNumber givenNumber, asio::ip::tcp::socket socket, Asked givenAsked, Ended givenEnded)
    : number(givenNumber)
    , instance(std::move(socket))
    , asked(std::move(givenAsked))
    , ended(std::move(givenEnded))
    , timer(this->instance.get_executor())
{
}

void RelaySession::start()
{
    asio::error_code ignored;
    this->instance.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->restartTimer(RequestTimeout);
    this->readRequest();
}

void RelaySession::restartTimer(std::chrono::milliseconds duration)
{
    this->timer.expires_after(duration);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
        if (!error)
            self->end(true);
    });
}

void RelaySession::readRequest()
{
    this->instance.async_read_some(asio::buffer(this->toServer.buffer),
        [self = this->shared_from_this()](const asio::error_code& error, std::size_t size) {
            if (error)
                return self->end(false);
            self->requestReceived(size);
        });
}

void RelaySession::requestReceived(std::size_t size)
{
    this->input.append(this->toServer.buffer.data(), size);
    http::request_parser<http::empty_body> parser;
    parser.header_limit(MaxHeaderBytes);
    boost::beast::error_code error;
    const std::size_t used = parser.put(boost::asio::buffer(this->input), error);
    if (error == http::error::need_more && this->input.size() < MaxHeaderBytes)
        return this->readRequest();
    const bool isUsable = !error && parser.is_header_done() && used == this->input.size()
        && parser.get().method() == http::verb::connect;
    const std::string backendServer(isUsable ? valueOf(parser.get(), RelayServerField) : std::string_view{});
    if (backendServer.empty())
        return this->refuse(static_cast<unsigned>(http::status::bad_request));
    this->sendsChunks = valueOf(parser.get(), RelayChunksField) == RelayChunksValue;
    this->watchForClose();
    this->asked(this->number, backendServer);
}

void RelaySession::watchForClose()
{
    // The other instance sends nothing before it has an answer, so anything that becomes readable is a close.
    this->instance.async_wait(
        asio::ip::tcp::socket::wait_read, [self = this->shared_from_this()](const asio::error_code& error) {
            if (!error && !self->server)
                self->end(false);
        });
}

void RelaySession::write(unsigned status, std::function<void()> written)
{
    constexpr unsigned httpVersion = 11;
    http::response<http::empty_body> answer(static_cast<http::status>(status), httpVersion);
    const bool isConnected = status == static_cast<unsigned>(http::status::ok);
    const auto text
        = std::make_shared<std::string>("HTTP/1.1 " + std::to_string(status) + " " + std::string(answer.reason())
            + (isConnected && this->sendsChunks ? "\r\nTransfer-Encoding: chunked\r\n\r\n" : "\r\n\r\n"));
    asio::async_write(this->instance, asio::buffer(*text),
        [self = this->shared_from_this(), text, written = std::move(written)](
            const asio::error_code& error, std::size_t) {
            if (self->isOver)
                return;
            if (error)
                return self->end(true);
            written();
        });
}

void RelaySession::refuse(unsigned status)
{
    this->write(status, [self = this->shared_from_this()] { self->end(false); });
}

void RelaySession::forward(const std::shared_ptr<HttpConnection>& toBackendServer)
{
    this->server = toBackendServer;
    this->restartTimer(IdleTimeout);
    this->write(static_cast<unsigned>(http::status::ok), [self = this->shared_from_this()] {
        self->fromInstance();
        self->fromServer();
    });
}

void RelaySession::fromInstance()
{
    this->instance.async_read_some(asio::buffer(this->toServer.buffer),
        [self = this->shared_from_this()](const asio::error_code& failure, std::size_t size) {
            if (self->isOver)
                return;
            // The other instance closes in order when it has the whole answer, and resets when it gives the request up.
            if (failure && failure != asio::error::eof)
                self->dropUndelivered();
            if (failure)
                return self->end(false);
            self->restartTimer(IdleTimeout);
            self->isWritingToServer = true;
            asio::async_write(self->server->socket, asio::buffer(self->toServer.buffer.data(), size),
                [self](const asio::error_code& error, std::size_t) {
                    self->isWritingToServer = false;
                    self->hasWriteFailed = self->hasWriteFailed || error;
                    if (self->isOver)
                        return;
                    if (self->hasServerEnded)
                        return self->serverEnded();
                    // After an error the answer may still be readable: its reader ends the session.
                    if (!error)
                        self->fromInstance();
                });
        });
}

void RelaySession::fromServer()
{
    this->server->socket.async_read_some(asio::buffer(this->toInstance.buffer),
        [self = this->shared_from_this()](const asio::error_code& failure, std::size_t size) {
            if (self->isOver)
                return;
            if (failure && failure != asio::error::eof)
                return self->end(true);
            if (failure)
                return self->serverEnded();
            self->restartTimer(IdleTimeout);
            asio::async_write(
                self->instance, self->serverBytes(size), [self](const asio::error_code& error, std::size_t) {
                    if (self->isOver)
                        return;
                    if (error)
                        return self->end(true);
                    self->fromServer();
                });
        });
}

std::array<asio::const_buffer, 3> RelaySession::serverBytes(std::size_t size)
{
    const asio::const_buffer bytes = asio::buffer(this->toInstance.buffer.data(), size);
    if (!this->sendsChunks)
        return { bytes, {}, {} };
    this->chunkHead = relayChunkHead(size);
    return { asio::buffer(this->chunkHead), bytes, asio::buffer(RelayChunkEnd) };
}

void RelaySession::serverEnded()
{
    this->hasServerEnded = true;
    if (this->isWritingToServer)
        return;
    if (this->hasWriteFailed)
        return this->end(true);
    if (!this->sendsChunks)
        return this->end(false);
    asio::async_write(this->instance, asio::buffer(RelayLastChunk),
        [self = this->shared_from_this()](const asio::error_code& error, std::size_t) { self->end(bool(error)); });
}

void RelaySession::dropUndelivered()
{
    asio::error_code ignored;
    this->server->socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

void RelaySession::end(bool isReset)
{
    if (std::exchange(this->isOver, true))
        return;
    asio::error_code ignored;
    this->timer.cancel();
    if (isReset)
        this->instance.set_option(asio::socket_base::linger(true, 0), ignored);
    this->instance.close(ignored);
    if (this->server)
        this->server->socket.close(ignored);
    this->ended(this->number);
}

}
