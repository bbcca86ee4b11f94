#pragma once

#include "Base/Clock.h"
#include "Http/AnswerOrder.h"
#include "Http/HttpMessage.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace burlreach {

class HttpSession;

/** Why a request could not be read. */
enum class HttpRequestProblem {
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    TooSlow // its header was not whole in time
};

/** A whole request of a connection. */
struct ReadRequest {
    HttpRequestNumber number = 0;
    HttpRequest message;
    Milliseconds readAt; // earlier than now when it had to wait for the answers before it
};

/** Takes what the sessions of a listener read. */
class HttpSessionHandler {
public:
    virtual ~HttpSessionHandler() = default;
    /** To be answered by answer() with its number; others of the session may be unanswered. */
    virtual void requestRead(const std::shared_ptr<HttpSession>& session, ReadRequest request) = 0;
    /** To be answered too; the connection is closed afterwards. */
    virtual void requestUnreadable(
        const std::shared_ptr<HttpSession>& session, HttpRequestNumber request, HttpRequestProblem problem)
        = 0;
    /**
     * True when a request that was sent ahead may begin before those ahead of
     * it are answered. If the connection ends first, its caller sends it again.
     */
    virtual bool mayBeginEarly(const HttpRequest&) const { return false; }
    /** A connection was closed at once, since too many are open. */
    virtual void sessionRefused() { }
    /** The connection is gone while some of its requests had no answer. */
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
 * A caller's connection. Requests that were sent ahead begin side by side as
 * far as the handler allows, up to a bound; their answers go out in the order
 * of the requests. While answers are awaited it goes on reading, to notice
 * that the caller has gone.
 */
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
    /** A connection that came from a caller's address. */
    struct Accepted {
        asio::ip::tcp::socket socket;
        std::string caller; // its address, without the port
    };

    HttpSession(Accepted accepted, std::uint64_t number, HttpSessionHandler& handler, const Clock& clock,
        const HttpSessionLimits& limits);

    void start();
    /** Takes the answer of a request; it is written when those ahead of it are. */
    void answer(HttpRequestNumber request, HttpResponse response);
    /** No request begins from now on behind one that is unanswered; the last answer closes the connection. */
    void closeAfterAnswer() { this->isLast = true; }
    void close();
    /** Closes the connection when it has been idle or slow for too long. */
    void tend(Milliseconds now);

    std::uint64_t number() const { return this->sessionNumber; }
    const std::string& caller() const { return this->callerAddress; }
    bool isOpen() const { return this->socket.is_open(); }
    /** An answer is awaited or not yet written whole. */
    bool isUnfinished() const { return !this->answers.isEmpty() || !this->output.empty(); }
    /** No request is being read, answered or written, and none waits to be read. */
    bool isIdle() const;
    /** A request may come, or a part of one is there. */
    bool awaitsRequest() const { return !this->isUnfinished() && !this->isEnding; }
    Milliseconds lastActiveAt() const { return this->lastActive; }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /** Bytes have come that a late thread has not read yet; closing would reset the connection. */
    bool hasUnreadBytes() const;
    void newParser();
    void read();
    void received(const asio::error_code& error, std::size_t size);
    /** Begins requests while some are whole in the input and may begin; goes on reading. */
    void advance();
    /** Another request may be read from the input. */
    bool mayParse() const;
    /** True when a request became whole. */
    bool parse();
    bool mayBegin(const HttpRequest& request) const;
    void begin();
    void unreadable(HttpRequestProblem problem);
    void continueIfAsked();
    void writeReady();
    void written(const asio::error_code& error);
    /** Ends the connection for good and tells the handler of requests without an answer. */
    void abandon();

    asio::ip::tcp::socket socket;
    std::string callerAddress;
    std::uint64_t sessionNumber;
    HttpSessionHandler* handler;
    const Clock* clock;
    const HttpSessionLimits* limits;
    AnswerOrder answers;
    std::optional<Parser> parser;
    std::optional<ReadRequest> whole; // read, and not begun yet
    static constexpr std::size_t ReadSize = 8192;
    std::array<char, ReadSize> chunk{};
    std::string input; // read, not yet parsed
    std::string output;
    bool isReading = false; // a read is under way
    bool isLast = false; // the newest request is the last one
    bool isEnding = false; // the last answer is being written or was
    bool wasContinued = false;
    Milliseconds requestBegan = Never; // first byte of the request that is being read
    Milliseconds lastActive;
};

}
