#pragma once

#include "Base/Clock.h"
#include "Base/NetworkAddress.h"
#include "Http/HttpSession.h"
#include "Timers/Timer.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <system_error>
#include <unordered_map>
#include <utility>

namespace burlreach {

/** Accepts callers' connections and keeps track of their sessions, on one thread. */
class HttpListener {
public:
    HttpListener(asio::io_context& context, HttpSessionHandler& handler, const Clock& clock);

    /** Opens the listening socket. Callers can connect from now on, but are served only after beginAccepting(). */
    std::error_code listen(const NetworkAddress& address);
    void beginAccepting();
    /** Sets the limits of existing and new sessions. */
    void setLimits(const HttpSessionLimits& next) { this->limits = next; }
    /** Bounds what the sessions that are accepted from now on hold. */
    void setMemory(std::shared_ptr<MemoryBound> bound) { this->memory = std::move(bound); }
    /** A further connection takes the place of the least useful session; it is closed at once if there is none. */
    void setMaxSessions(std::size_t most) { this->maxSessions = most; }
    /**
     * Drops attempts to connect from now on; connections that are already being
     * established are accepted. Callers get no error and keep trying, so
     * stopAccepting() should follow soon.
     */
    void refuseNewConnections();
    bool isRefusingNewConnections() const { return this->isRefusing; }
    /** Accepts the connections that are already established and closes the listening socket. */
    void stopAccepting();
    /** From now on, sessions close their connection after the answer to their newest request. */
    void closeAfterAnswers();
    /** Closes sessions that were idle for 200 ms; callers of those idle for less may be about to send a request. */
    void closeIdle();
    /** Closes sessions that exceed their time limits; to be called about once a second. */
    void closeExpiredSessions();
    /**
     * The number of sessions that wait for an answer or are writing one. After
     * closeAfterAnswers() also counts those whose caller may be sending a request.
     */
    std::size_t unfinishedSessions() const;
    /** Returns true if a caller connected within the last 200 ms, so that others may be about to connect. */
    bool hasRecentConnection() const;
    std::size_t sessions() const { return this->openSessions.size(); }
    std::uint64_t refusedSessions() const { return this->refusedCount; }
    /** The number of sessions that were closed to make room for others. */
    std::uint64_t displacedSessions() const { return this->displacedCount; }

private:
    void accept();
    /** Goes on accepting after a pause. */
    void acceptLater();
    void accepted(asio::ip::tcp::socket socket, const asio::ip::tcp::endpoint& from);
    /** Accepts all connections that wait to be accepted, without blocking. */
    void acceptPending();
    void removeClosed();
    /** Closes the least useful session, to make room for another one; returns false if none may be closed. */
    bool closeLeastUseful();
    bool isIdleLongEnough(const HttpSession& session) const;

    asio::ip::tcp::acceptor acceptor;
    Timer acceptPause; // after a failed accept
    asio::ip::tcp::endpoint nextCaller; // address of the connection that is accepted next
    HttpSessionHandler* handler;
    const Clock* clock;
    HttpSessionLimits limits;
    std::shared_ptr<MemoryBound> memory;
    std::size_t maxSessions = 4000;
    std::uint64_t lastNumber = 0;
    std::uint64_t refusedCount = 0;
    std::uint64_t displacedCount = 0;
    Milliseconds acceptedAt = LongAgo; // time at which the newest session was accepted
    bool closesAfterAnswers = false;
    bool isAccepting = false;
    bool isRefusing = false;
    std::unordered_map<std::uint64_t, std::weak_ptr<HttpSession>> openSessions;
};

}
