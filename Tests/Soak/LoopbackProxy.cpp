#include "Tests/Soak/LoopbackProxy.h"

#include "Base/ChronoDuration.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace burlreach {

using asio::ip::tcp;

/** One connection, with a stream of bytes in each direction; each stream alternates between reading and writing. */
class LoopbackProxy::Relay : public std::enable_shared_from_this<LoopbackProxy::Relay> {
public:
    Relay(asio::io_context& context, LoopbackProxy& givenProxy, tcp::socket givenClient)
        : proxy(&givenProxy)
        , client(std::move(givenClient))
        , server(context)
        , forward{ &this->client, &this->server, ProxyFault::SilentForward, asio::steady_timer(context), {} }
        , back{ &this->server, &this->client, ProxyFault::SilentBack, asio::steady_timer(context), {} }
    {
    }

    void connect(std::size_t index)
    {
        const auto& targets = this->proxy->options.targets;
        if (index >= targets.size())
            return this->reset();
        const tcp::endpoint target(asio::ip::address_v4::loopback(), targets[index]);
        this->server.async_connect(target, [self = this->shared_from_this(), index](const asio::error_code& error) {
            if (error) {
                asio::error_code closing;
                self->server.close(closing);
                return self->connect(index + 1);
            }
            asio::error_code ignored;
            self->server.set_option(tcp::no_delay(true), ignored);
            self->client.set_option(tcp::no_delay(true), ignored);
            self->read(self->forward);
            self->read(self->back);
        });
    }

    void reset()
    {
        asio::error_code ignored;
        for (tcp::socket* socket : { &this->client, &this->server }) {
            if (socket->is_open())
                socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

private:
    static constexpr std::size_t PieceSize = 16384;

    struct Direction {
        tcp::socket* from = nullptr;
        tcp::socket* to = nullptr;
        ProxyFault silencedBy = ProxyFault::Silent;
        asio::steady_timer timer;
        std::array<char, PieceSize> piece{};
    };

    void read(Direction& way)
    {
        way.from->async_read_some(asio::buffer(way.piece),
            [self = this->shared_from_this(), &way](const asio::error_code& error, std::size_t size) {
                if (error)
                    return self->ended(way, error);
                self->pass(way, size);
            });
    }

    void ended(const Direction& way, const asio::error_code& error)
    {
        if (error != asio::error::eof)
            return this->reset();
        asio::error_code ignored;
        way.to->shutdown(tcp::socket::shutdown_send, ignored);
    }

    void pass(Direction& way, std::size_t size)
    {
        const ProxyFault fault = this->proxy->fault;
        if (fault == ProxyFault::Silent || fault == way.silencedBy) {
            // Discarded bytes are never resent, so the connection is reset when the fault ends.
            this->hasLost = true;
            return this->read(way);
        }
        if (this->hasLost)
            return this->reset();
        if (&way == &this->forward && !this->surplus.empty())
            return this->sendBefore(way, size, std::exchange(this->surplus, {}));
        if (&way == &this->back && this->spoil(fault, size))
            return;
        if (fault != ProxyFault::Delay)
            return this->write(way, size);
        way.timer.expires_after(toDuration(this->proxy->options.delay));
        way.timer.async_wait(
            [self = this->shared_from_this(), &way, size](const asio::error_code&) { self->write(way, size); });
    }

    /** Applies the faults that change the server's bytes; true if the bytes are dealt with. */
    bool spoil(ProxyFault fault, std::size_t size)
    {
        static constexpr std::string_view interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
        static constexpr std::string_view idField = "Burlreach-Request-Id: ";
        const std::string_view bytes(this->back.piece.data(), size);
        if (fault == ProxyFault::Unframed || fault == ProxyFault::EndsShort || !this->answer.empty())
            return this->collect(fault, bytes);
        // Answers to probes have no id, so that a copy of one could not be told from an answer to a request.
        if (bytes.find(idField) == std::string_view::npos || !bytes.starts_with("HTTP/"))
            return false;
        if (fault == ProxyFault::Repeat)
            this->surplus = bytes;
        if (fault == ProxyFault::Interim)
            this->sendBefore(this->back, size, std::string(interim));
        if (fault == ProxyFault::Endless)
            this->sendEndlessly();
        return fault == ProxyFault::Interim || fault == ProxyFault::Endless;
    }

    /** Collects an answer and sends it in halves once it is whole; false if it is none to a request. */
    bool collect(ProxyFault fault, std::string_view bytes)
    {
        static constexpr std::string_view headEnd = "\r\n\r\n";
        static constexpr std::string_view lengthField = "\r\nContent-Length: ";
        this->answer += bytes;
        const std::size_t body = this->answer.find(headEnd);
        const std::size_t length = this->answer.find(lengthField);
        const std::size_t announced = length < body ? std::stoul(this->answer.substr(length + lengthField.size())) : 0;
        if (body == std::string::npos || this->answer.size() < body + headEnd.size() + announced) {
            this->read(this->back);
            return true;
        }
        if (!announced || this->answer.find("Burlreach-Request-Id: ") > body) {
            this->sendBefore(this->back, 0, std::exchange(this->answer, {}));
            return true;
        }
        const std::size_t half = this->answer.size() - announced / 2;
        constexpr std::size_t missing = 5;
        if (fault == ProxyFault::EndsShort) {
            this->answer.resize(std::max(half, this->answer.size() - missing));
            this->sendHalves(half);
            return true;
        }
        const std::size_t lineBytes = this->answer.find("\r\n", length + lengthField.size()) - length;
        this->answer.erase(length, lineBytes);
        this->sendHalves(half - lineBytes);
        return true;
    }

    /** Sends the answer with a pause behind the first bytes, and ends the connection in order. */
    void sendHalves(std::size_t first)
    {
        asio::async_write(this->client, asio::buffer(this->answer.data(), first),
            [self = this->shared_from_this(), first](const asio::error_code& error, std::size_t) {
                if (error)
                    return self->reset();
                self->back.timer.expires_after(toDuration(self->proxy->options.delay));
                self->back.timer.async_wait([self, first](const asio::error_code&) { self->sendRest(first); });
            });
    }

    void sendRest(std::size_t first)
    {
        asio::async_write(this->client, asio::buffer(this->answer) + first,
            [self = this->shared_from_this()](const asio::error_code& error, std::size_t) {
                if (error)
                    return self->reset();
                asio::error_code ignored;
                self->client.shutdown(tcp::socket::shutdown_send, ignored);
            });
    }

    /** Sends these bytes to the client, then passes on what has been read. */
    void sendBefore(Direction& way, std::size_t size, std::string bytes)
    {
        const auto sent = std::make_shared<std::string>(std::move(bytes));
        asio::async_write(this->client, asio::buffer(*sent),
            [self = this->shared_from_this(), &way, size, sent](const asio::error_code& error, std::size_t) {
                if (error)
                    return self->reset();
                self->write(way, size);
            });
    }

    void sendEndlessly()
    {
        static constexpr std::array<std::string_view, 3> beginnings{
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 500 x\r\n\r\n", "HTTP/1.1 200 "
        };
        const std::string_view beginning = beginnings[this->proxy->endlessAnswers++ % beginnings.size()];
        std::fill(this->back.piece.begin(), this->back.piece.end(), '0');
        asio::async_write(this->client, asio::buffer(beginning),
            [self = this->shared_from_this()](
                const asio::error_code& error, std::size_t) { self->continueEndlessly(error); });
    }

    void continueEndlessly(const asio::error_code& error)
    {
        if (error)
            return this->reset();
        asio::async_write(this->client, asio::buffer(this->back.piece),
            [self = this->shared_from_this()](
                const asio::error_code& failure, std::size_t) { self->continueEndlessly(failure); });
    }

    void write(Direction& way, std::size_t size)
    {
        asio::async_write(*way.to, asio::buffer(way.piece, size),
            [self = this->shared_from_this(), &way](const asio::error_code& error, std::size_t) {
                if (error)
                    return self->reset();
                self->read(way);
            });
    }

    LoopbackProxy* proxy;
    tcp::socket client;
    tcp::socket server;
    Direction forward;
    Direction back;
    bool hasLost = false;
    std::string answer; // of the server, collected to be sent in halves
    std::string surplus; // a copy of the last answer, not yet sent
};

LoopbackProxy::LoopbackProxy(asio::io_context& givenContext, Options givenOptions)
    : context(&givenContext)
    , options(std::move(givenOptions))
    , acceptor(givenContext, tcp::endpoint(asio::ip::address_v4::loopback(), this->options.port))
{
    this->accept();
}

void LoopbackProxy::accept()
{
    this->acceptor.async_accept([this](const asio::error_code& error, tcp::socket socket) {
        if (error)
            return;
        if (this->fault != ProxyFault::Refuse) {
            const auto relay = std::make_shared<Relay>(*this->context, *this, std::move(socket));
            this->relays.remove_if([](const auto& item) { return item.expired(); });
            this->relays.push_back(relay);
            relay->connect(0);
        }
        this->accept();
    });
}

void LoopbackProxy::setFault(ProxyFault next)
{
    this->fault = next;
    if (next == ProxyFault::Refuse)
        this->reset();
}

void LoopbackProxy::reset()
{
    asio::post(*this->context, [this] { this->resetNow(); });
}

void LoopbackProxy::resetNow()
{
    for (const auto& item : this->relays) {
        if (const auto relay = item.lock())
            relay->reset();
    }
    this->relays.clear();
}

}
