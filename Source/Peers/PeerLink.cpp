#include "Peers/PeerLink.h"

#include "Base/ChronoDuration.h"

#include <algorithm>
#include <utility>

namespace burlreach {

PeerLink::PeerLink(asio::io_context& givenContext, const Clock& givenClock, NetworkAddress givenAddress,
    Options givenOptions, TrafficMetrics& givenMetrics)
    : context(&givenContext)
    , clock(&givenClock)
    , address(std::move(givenAddress))
    , options(givenOptions)
    , metrics(&givenMetrics)
    , connectTimer(givenContext)
    , lastSend(givenClock.now())
    , lastAnswered(givenClock.now())
{
}

void PeerLink::send(std::string message)
{
    const Milliseconds now = this->clock->now();
    this->lastSend = now;
    if (this->session && this->session->isOpen()) {
        if (!this->session->unanswered())
            this->lastAnswered = now;
        ++this->metrics->peerMessagesSent;
        return this->session->send(std::move(message));
    }
    this->waiting.push_back({ .message = std::move(message), .deadline = now + this->options.messageDeadline });
    if (this->waiting.size() > this->options.mostWaiting)
        this->drop(1);
    this->connect();
}

void PeerLink::drop(std::size_t count)
{
    this->metrics->peerMessagesDropped += count;
    this->waiting.erase(this->waiting.begin(), this->waiting.begin() + static_cast<std::ptrdiff_t>(count));
}

void PeerLink::connect()
{
    const Milliseconds now = this->clock->now();
    if (this->isConnecting || now < this->nextConnect)
        return;
    this->isConnecting = true;
    this->nextConnect = now + this->options.reconnectGap;
    const auto socket = std::make_shared<asio::ip::tcp::socket>(*this->context);
    asio::error_code error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(this->address.host, error), this->address.port);
    socket->async_connect(endpoint, [self = this->shared_from_this(), socket](const asio::error_code& failure) {
        self->isConnecting = false;
        self->connectTimer.cancel();
        if (failure)
            return self->connectAgain();
        self->session
            = std::make_shared<PeerClientSession>(std::move(*socket), Http2Session::Side::Client, *self->metrics);
        self->connected();
    });
    this->watchConnecting(socket);
}

void PeerLink::watchConnecting(const std::shared_ptr<asio::ip::tcp::socket>& socket)
{
    this->connectTimer.expires_after(toDuration(this->options.connectTimeout));
    this->connectTimer.async_wait([socket](const asio::error_code& cancelled) {
        asio::error_code ignored;
        if (!cancelled)
            socket->close(ignored);
    });
}

void PeerLink::connectAgain()
{
    if (this->waiting.empty())
        return;
    const Milliseconds pause = std::max(Milliseconds{}, this->nextConnect - this->clock->now());
    this->connectTimer.expires_after(toDuration(pause));
    this->connectTimer.async_wait([self = this->shared_from_this()](const asio::error_code& cancelled) {
        if (!cancelled && !self->waiting.empty())
            self->connect();
    });
}

void PeerLink::connected()
{
    this->session->open();
    this->lastAnswered = this->clock->now();
    while (!this->waiting.empty() && this->session->isOpen()) {
        std::string message = std::move(this->waiting.front().message);
        this->waiting.pop_front();
        ++this->metrics->peerMessagesSent;
        this->session->send(std::move(message));
    }
}

bool PeerLink::tend()
{
    const Milliseconds now = this->clock->now();
    while (!this->waiting.empty() && this->waiting.front().deadline <= now)
        this->drop(1);
    if (this->session && !this->session->unanswered())
        this->lastAnswered = now;
    const bool isStuck = this->session && now - this->lastAnswered > this->options.messageDeadline;
    const bool isIdle = now - this->lastSend > this->options.idle;
    if (this->session && (isStuck || isIdle || !this->session->isOpen())) {
        this->metrics->peerMessagesDropped += this->session->unanswered();
        this->session->close();
        this->session.reset();
    }
    if (!this->waiting.empty())
        this->connect();
    return !isIdle;
}

void PeerLink::close()
{
    if (this->session)
        this->session->close();
    this->session.reset();
    this->waiting.clear();
    this->connectTimer.cancel();
}

}
