#include "Tests/Soak/LoopbackProxy.h"

#include "Base/ChronoDuration.h"

#include <asio/post.hpp>
#include <asio/write.hpp>
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
        if (fault != ProxyFault::Delay)
            return this->write(way, size);
        way.timer.expires_after(toDuration(this->proxy->options.delay));
        way.timer.async_wait(
            [self = this->shared_from_this(), &way, size](const asio::error_code&) { self->write(way, size); });
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
