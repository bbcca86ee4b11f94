#pragma once

#include "Base/Clock.h"
#include "Http/HttpMessage.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace burlreach {

class HttpSession;

/** Why a request could not be read. */
enum class HttpRequestProblem {
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    TooSlow // its header was not whole in time
};

/** Takes what the sessions of a listener read. */
class HttpSessionHandler {
public:
    virtual ~HttpSessionHandler() = default;
    /** A whole request; the session waits for its answer() before it reads the next one. */
    virtual void requestRead(const std::shared_ptr<HttpSession>& session, HttpRequest request) = 0;
    /** To be answered too; the connection is closed afterwards. */
    virtual void requestUnreadable(const std::shared_ptr<HttpSession>& session, HttpRequestProblem problem) = 0;
    /** A connection was closed at once, since too many are open. */
    virtual void sessionRefused() { }
    /** The caller closed its connection while it waited for an answer. */
    virtual void callerGone(const std::shared_ptr<HttpSession>& session) = 0;
};

/** What a caller may send and how long it may take. */
struct HttpSessionLimits {
    std::size_t headerBytes = 8192;
    std::size_t bodyBytes = 1048576;
    Milliseconds headerTimeout{ 10000 };
    Milliseconds idleTimeout{ 300000 };
};

/**
 * A caller's connection: one request after the other, each with its answer.
 * While an answer is awaited it goes on reading, to notice that the caller has
 * gone; requests sent ahead wait in its buffer.
 */
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
    HttpSession(asio::ip::tcp::socket socket, std::uint64_t number, HttpSessionHandler& handler, const Clock& clock,
        const HttpSessionLimits& limits);

    void start();
    /** Answers the request that was read last. */
    void answer(HttpResponse response);
    /** Every answer from now on is the last one of its connection. */
    void closeAfterAnswer() { this->isLast = true; }
    void close();
    /** Closes the connection when it has been idle or slow for too long. */
    void tend(Milliseconds now);

    std::uint64_t number() const { return this->sessionNumber; }
    bool isOpen() const { return this->socket.is_open(); }
    /** An answer is awaited or not yet written whole. */
    bool isUnfinished() const { return this->state == State::Answering || !this->output.empty(); }
    /** No request is being read, answered or written, and none waits to be read. */
    bool isIdle() const;
    /** A request may come, or a part of one is there. */
    bool awaitsRequest() const { return this->state == State::Reading; }
    Milliseconds lastActiveAt() const { return this->lastActive; }

private:
    enum class State {
        Reading,
        Answering, // the handler has the request
        Writing
    };
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /** Bytes have come that a late thread has not read yet; closing would reset the connection. */
    bool hasUnreadBytes() const;
    void newParser();
    void read();
    void received(const asio::error_code& error, std::size_t size);
    void parse();
    void requestParsed();
    void unreadable(HttpRequestProblem problem);
    void continueIfAsked();
    void write(std::string bytes, bool closes);
    void written(const asio::error_code& error, bool closes);

    asio::ip::tcp::socket socket;
    std::uint64_t sessionNumber;
    HttpSessionHandler* handler;
    const Clock* clock;
    const HttpSessionLimits* limits;
    State state = State::Reading;
    std::optional<Parser> parser;
    static constexpr std::size_t ReadSize = 8192;
    std::array<char, ReadSize> chunk{};
    std::string input; // read, not yet parsed
    std::string output;
    bool isReading = false; // a read is under way
    bool isLast = false;
    bool isHead = false;
    bool wasContinued = false;
    unsigned version = 11;
    bool keepsAlive = true;
    Milliseconds requestBegan = Never; // first byte of the request that is being read
    Milliseconds lastActive;
};

}
