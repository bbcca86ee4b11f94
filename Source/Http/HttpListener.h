#pragma once

#include "Base/Clock.h"
#include "Base/NetworkAddress.h"
#include "Http/HttpSession.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <system_error>
#include <unordered_map>

namespace burlreach {

/** Accepts callers' connections and keeps their sessions, on one thread. */
class HttpListener {
public:
    HttpListener(asio::io_context& context, HttpSessionHandler& handler, const Clock& clock);

    /** Callers can connect from now on; they are served once accepting begins. */
    std::error_code listen(const NetworkAddress& address);
    void beginAccepting();
    void setLimits(const HttpSessionLimits& next) { this->limits = next; }
    void setMostSessions(std::size_t most) { this->mostSessions = most; }
    /**
     * No connection begins any more; those that are coming up still do, and are
     * taken. Callers are not told, so the listening should end soon.
     */
    void refuseNew();
    bool refusesNew() const { return this->isRefusing; }
    /** Takes those connections that callers have already made, and ends the listening. */
    void stopAccepting();
    /** Answers from now on are the last ones of their connections. */
    void closeAfterAnswers();
    /** Closes those that have been idle for a moment; one just made is about to bring a request. */
    void closeIdle();
    /** Closes slow and idle sessions; to be called about once a second. */
    void tend();
    /** Sessions whose answer is awaited or not yet written whole, and those that may just be sending. */
    std::size_t unfinished() const;
    /** A caller connected a moment ago, and another one may be about to. */
    bool isSought() const;
    std::size_t sessions() const { return this->open.size(); }
    std::uint64_t refusedSessions() const { return this->refused; }

private:
    void accept();
    void accepted(asio::ip::tcp::socket socket, const asio::ip::tcp::endpoint& from);
    /** Those that wait to be accepted. */
    void takeWaiting();
    void forgetClosed();
    bool hasRested(const HttpSession& session) const;

    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::endpoint caller; // of the connection that comes next
    HttpSessionHandler* handler;
    const Clock* clock;
    HttpSessionLimits limits;
    std::size_t mostSessions = 4000;
    std::uint64_t lastNumber = 0;
    std::uint64_t refused = 0;
    Milliseconds acceptedAt = LongAgo; // the newest session
    bool closesAfterAnswers = false;
    bool isAccepting = false;
    bool isRefusing = false;
    std::unordered_map<std::uint64_t, std::weak_ptr<HttpSession>> open;
};

}
