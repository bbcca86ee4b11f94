#include "Http/HttpListener.h"

#include "Base/ChronoDuration.h"

#include <array>
#include <linux/filter.h>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace burlreach {

namespace {

/**
 * The caller of a session that was active within this time may be sending a request. If nobody has connected for this
 * long, no caller is assumed to be connecting.
 */
constexpr Milliseconds MinIdleTime{ 200 };
/** After an accept that failed, before the next one. */
constexpr Milliseconds AcceptPause{ 50 };

/**
 * Attaches a socket filter that drops SYN segments and no others, so that no
 * further connections are established. Without it, a connection established
 * between the last accept and the close is reset: in 6 of 14 runs of 20 stops
 * each on a busy machine, one or two connections were lost. If the system does
 * not support the filter, such resets remain possible.
 */
void dropSynSegments(int listeningSocket)
{
    constexpr std::uint32_t flagsOffset = 13; // in the header of a TCP segment
    constexpr std::uint32_t synAndAck = 0x12;
    constexpr std::uint32_t syn = 0x02;
    constexpr std::uint32_t wholeSegment = 0xffffffff;
    std::array<sock_filter, 5> program{ {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flagsOffset),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, synAndAck),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, syn, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, wholeSegment),
    } };
    const sock_fprog filter{ .len = program.size(), .filter = program.data() };
    setsockopt(listeningSocket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter);
}

}

HttpListener::HttpListener(asio::io_context& context, HttpSessionHandler& givenHandler, const Clock& givenClock)
    : acceptor(context)
    , acceptPause(context)
    , handler(&givenHandler)
    , clock(&givenClock)
{
}

std::error_code HttpListener::listen(const NetworkAddress& address)
{
    asio::error_code error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.host, error), address.port);
    if (!error)
        this->acceptor.open(endpoint.protocol(), error);
    if (!error)
        this->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    // Accepted connections inherit it. What has arrived and is not read takes memory of the machine, and the kernel
    // lets it grow to megabytes for each connection.
    asio::error_code ignored;
    this->acceptor.set_option(asio::socket_base::receive_buffer_size(SessionReceiveBytes), ignored);
    if (!error)
        this->acceptor.bind(endpoint, error);
    if (!error)
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    return error;
}

void HttpListener::beginAccepting()
{
    if (!std::exchange(this->isAccepting, true))
        this->accept();
}

void HttpListener::accept()
{
    this->acceptor.async_accept(this->nextCaller, [this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        // Kept even if the listener was closed meanwhile: destroying the socket would reset the connection.
        if (!error)
            this->accepted(std::move(socket), this->nextCaller);
        if (!this->acceptor.is_open())
            return;
        if (error)
            return this->acceptLater();
        this->accept();
    });
}

void HttpListener::acceptLater()
{
    // Without a free descriptor every accept fails at once, and the connection goes on waiting.
    this->closeLeastUseful();
    this->acceptPause.expires_after(toDuration(AcceptPause));
    this->acceptPause.async_wait([this](const asio::error_code& error) {
        if (!error && this->acceptor.is_open())
            this->accept();
    });
}

void HttpListener::accepted(asio::ip::tcp::socket socket, const asio::ip::tcp::endpoint& from)
{
    if (this->openSessions.size() >= this->maxSessions)
        this->removeClosed();
    if (this->openSessions.size() >= this->maxSessions && !this->closeLeastUseful()) {
        ++this->refusedCount;
        this->handler->sessionRefused();
        return;
    }
    const auto session = std::make_shared<HttpSession>(
        HttpSession::Accepted{
            .socket = std::move(socket), .caller = from.address().to_string(), .memory = this->memory },
        ++this->lastNumber, *this->handler, *this->clock, this->limits);
    if (this->closesAfterAnswers)
        session->closeAfterAnswer();
    this->acceptedAt = this->clock->now();
    this->openSessions.emplace(session->number(), session);
    session->start();
}

void HttpListener::removeClosed()
{
    std::erase_if(this->openSessions, [](const auto& item) {
        const auto session = item.second.lock();
        return !session || !session->isOpen();
    });
}

bool HttpListener::closeLeastUseful()
{
    const Milliseconds now = this->clock->now();
    std::shared_ptr<HttpSession> chosen;
    std::pair most{ CloseOrder::Never, Milliseconds{} };
    for (const auto& [number, item] : this->openSessions) {
        auto session = item.lock();
        if (!session || !session->isOpen())
            continue;
        const std::pair rank{ session->closeOrder(now), now - session->lastActiveAt() };
        if (rank.first == CloseOrder::Never || rank <= most)
            continue;
        chosen = std::move(session);
        most = rank;
    }
    if (!chosen)
        return false;
    ++this->displacedCount;
    this->openSessions.erase(chosen->number());
    chosen->giveWay();
    return true;
}

void HttpListener::acceptPending()
{
    asio::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket(this->acceptor.get_executor());
        asio::ip::tcp::endpoint from;
        this->acceptor.accept(socket, from, error);
        if (!error)
            this->accepted(std::move(socket), from);
    }
}

void HttpListener::refuseNewConnections()
{
    if (!this->acceptor.is_open())
        return;
    if (!std::exchange(this->isRefusing, true))
        dropSynSegments(this->acceptor.native_handle());
    this->acceptPending();
}

void HttpListener::stopAccepting()
{
    // Closing the listener would reset connections that wait to be accepted, and lose the requests sent on them.
    this->refuseNewConnections();
    asio::error_code ignored;
    this->acceptor.close(ignored);
}

bool HttpListener::isIdleLongEnough(const HttpSession& session) const
{
    return session.isIdle() && this->clock->now() - session.lastActiveAt() >= MinIdleTime;
}

void HttpListener::closeAfterAnswers()
{
    this->closesAfterAnswers = true;
    for (const auto& [number, item] : this->openSessions) {
        if (const auto session = item.lock())
            session->closeAfterAnswer();
    }
}

bool HttpListener::hasRecentConnection() const
{
    return this->acceptor.is_open() && this->clock->now() - this->acceptedAt < MinIdleTime;
}

std::size_t HttpListener::unfinishedSessions() const
{
    std::size_t count = 0;
    for (const auto& [number, item] : this->openSessions) {
        const auto session = item.lock();
        if (!session || !session->isOpen())
            continue;
        const bool mayBeSending
            = this->closesAfterAnswers && session->awaitsRequest() && !this->isIdleLongEnough(*session);
        count += session->isUnfinished() || mayBeSending ? 1 : 0;
    }
    return count;
}

void HttpListener::closeIdle()
{
    for (const auto& [number, item] : this->openSessions) {
        const auto session = item.lock();
        if (session && session->isOpen() && this->isIdleLongEnough(*session))
            session->close();
    }
}

void HttpListener::closeExpiredSessions()
{
    this->removeClosed();
    std::vector<std::shared_ptr<HttpSession>> sessions;
    for (const auto& [number, item] : this->openSessions)
        sessions.push_back(item.lock());
    for (const auto& session : sessions)
        session->enforceTimeLimits(this->clock->now());
}

}
