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
    , lastSentAt(givenClock.now())
    , lastAcknowledgedAt(givenClock.now())
{
}

void PeerLink::send(std::string message)
{
    const Milliseconds now = this->clock->now();
    this->lastSentAt = now;
    if (this->session && this->session->isOpen()) {
        if (!this->session->unacknowledged())
            this->lastAcknowledgedAt = now;
        ++this->metrics->peerMessagesSent;
        return this->session->send(std::move(message));
    }
    this->queue.push_back({ .message = std::move(message), .deadline = now + this->options.messageTimeout });
    if (this->queue.size() > this->options.maxQueuedMessages)
        this->dropOldest(1);
    this->connect();
}

void PeerLink::dropOldest(std::size_t count)
{
    this->metrics->peerMessagesDropped += count;
    this->queue.erase(this->queue.begin(), this->queue.begin() + static_cast<std::ptrdiff_t>(count));
}

void PeerLink::connect()
{
    const Milliseconds now = this->clock->now();
    if (this->isConnecting || now < this->nextConnectAt)
        return;
    this->isConnecting = true;
    this->nextConnectAt = now + this->options.reconnectInterval;
    const auto socket = std::make_shared<asio::ip::tcp::socket>(*this->context);
    asio::error_code error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(this->address.host, error), this->address.port);
    socket->async_connect(endpoint, [self = this->shared_from_this(), socket](const asio::error_code& failure) {
        self->isConnecting = false;
        self->connectTimer.cancel();
        if (failure)
            return self->scheduleReconnect();
        self->session
            = std::make_shared<PeerClientSession>(std::move(*socket), Http2Session::Side::Client, *self->metrics);
        self->connected();
    });
    this->startConnectTimeout(socket);
}

void PeerLink::startConnectTimeout(const std::shared_ptr<asio::ip::tcp::socket>& socket)
{
    this->connectTimer.expires_after(toDuration(this->options.connectTimeout));
    this->connectTimer.async_wait([socket](const asio::error_code& cancelled) {
        asio::error_code ignored;
        if (!cancelled)
            socket->close(ignored);
    });
}

void PeerLink::scheduleReconnect()
{
    if (this->queue.empty())
        return;
    const Milliseconds pause = std::max(Milliseconds{}, this->nextConnectAt - this->clock->now());
    this->connectTimer.expires_after(toDuration(pause));
    this->connectTimer.async_wait([self = this->shared_from_this()](const asio::error_code& cancelled) {
        if (!cancelled && !self->queue.empty())
            self->connect();
    });
}

void PeerLink::connected()
{
    this->session->open();
    this->lastAcknowledgedAt = this->clock->now();
    while (!this->queue.empty() && this->session->isOpen()) {
        std::string message = std::move(this->queue.front().message);
        this->queue.pop_front();
        ++this->metrics->peerMessagesSent;
        this->session->send(std::move(message));
    }
}

bool PeerLink::enforceTimeLimits()
{
    const Milliseconds now = this->clock->now();
    while (!this->queue.empty() && this->queue.front().deadline <= now)
        this->dropOldest(1);
    if (this->session && !this->session->unacknowledged())
        this->lastAcknowledgedAt = now;
    const bool isStuck = this->session && now - this->lastAcknowledgedAt > this->options.messageTimeout;
    const bool isIdle = now - this->lastSentAt > this->options.idleTimeout;
    if (this->session && (isStuck || isIdle || !this->session->isOpen())) {
        this->metrics->peerMessagesDropped += this->session->unacknowledged();
        this->session->close();
        this->session.reset();
    }
    if (!this->queue.empty())
        this->connect();
    return !isIdle;
}

void PeerLink::close()
{
    if (this->session)
        this->session->close();
    this->session.reset();
    this->queue.clear();
    this->connectTimer.cancel();
}

}
