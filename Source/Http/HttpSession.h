#pragma once

#include "Base/Clock.h"
#include "Http/AnswerQueue.h"
#include "Http/HttpMessage.h"
#include "Http/MemoryBound.h"

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

/** Size in bytes that is set for the receive buffer of each caller's connection. */
inline constexpr std::size_t SessionReceiveBytes = 65536;

/** Why a request could not be read. */
enum class HttpRequestProblem {
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    TooManySessions, // its connection gives way to another one
    MemoryFull, // what callers and servers make this process hold takes too much memory, and this request gives way
    TooSlow // the header was not complete within the time limit
};

/** A complete request of a connection. */
struct ReceivedRequest {
    HttpRequestNumber number = 0;
    HttpRequest message;
    Milliseconds readAt; // time at which it was complete; it may have waited since for the answers to earlier requests
};

/** Receives the requests and events of a listener's sessions. */
class HttpSessionHandler {
public:
    virtual ~HttpSessionHandler() = default;
    /**
     * Called for each request; must be answered by HttpSession::answer() with the request's number. Other requests of
     * the session may still be unanswered.
     */
    virtual void requestReceived(const std::shared_ptr<HttpSession>& session, ReceivedRequest request) = 0;
    /** Called for an unreadable request. It must be answered too; the connection is closed afterwards. */
    virtual void requestUnreadable(
        const std::shared_ptr<HttpSession>& session, HttpRequestNumber request, HttpRequestProblem problem)
        = 0;
    /**
     * Returns true if a pipelined request may be started before earlier
     * requests of its connection are answered. If the connection ends before its
     * answer, the caller sends the request again, so it must be repeatable.
     */
    virtual bool mayStartEarly(const HttpRequest&) const { return false; }
    /** Called when a connection was closed at once because too many are open. */
    virtual void sessionRefused() { }
    /** Called when a connection was lost while some of its requests had no answer. */
    virtual void callerGone(const std::shared_ptr<HttpSession>& session) = 0;
    /** Called when a caller has taken what was written to it while some of its requests have no whole answer. */
    virtual void answersTaken(const std::shared_ptr<HttpSession>&) { }
};

/** How readily a session is closed to make room for a new one, from last to first. */
enum class CloseOrder {
    Never, // a request waits or is at work, or the session has just become idle
    Receiving, // a request has been arriving for some time
    Idle,
    Stalled, // a request stops short of its end, or the caller does not take its answer
    Answered // the last answer was written, and the caller has not closed
};

/** Limits on the size of a caller's requests and on the time that the caller may take. */
struct HttpSessionLimits {
    std::size_t headerBytes = 8192;
    std::size_t bodyBytes = 1048576;
    Milliseconds headerTimeout{ 10000 };
    Milliseconds idleTimeout{ 300000 };
};

/**
 * A caller's connection.
 *
 * Reads requests and passes them to the handler. An answer is written whole, or piece by piece while it comes. A
 * pipelined request is passed on before earlier ones are answered only if the handler allows it and the number of
 * unfinished requests is below a limit; otherwise it waits. Answers are written in the order of the requests. Reading
 * goes on while answers are awaited, to notice when the caller closes the connection.
 *
 * What the caller has sent and not taken counts against a bound on memory. If it gives way to others, a request that is
 * not complete is refused, and a caller that does not take its answers loses its connection. After a refusal, what the
 * caller still sends is read and dropped for some seconds, because closing would reset the connection.
 */
class HttpSession : public std::enable_shared_from_this<HttpSession>, private MemoryHolder {
public:
    /** An accepted connection and the caller's address. */
    struct Accepted {
        asio::ip::tcp::socket socket;
        std::string caller; // the IP address, without the port
        std::shared_ptr<MemoryBound> memory; // null: no bound
    };

    HttpSession(Accepted accepted, std::uint64_t number, HttpSessionHandler& handler, const Clock& clock,
        const HttpSessionLimits& limits);
    ~HttpSession() override;
    HttpSession(const HttpSession&) = delete;
    HttpSession& operator=(const HttpSession&) = delete;

    void start();
    /** Answers a request. The answer is written once the answers to all earlier requests are. */
    void answer(HttpRequestNumber request, HttpResponse response);
    /**
     * Begins the answer to a request with its header; the body follows by addBody() and has this length, or ends with
     * endAnswer(). Nothing is written before the answers to all earlier requests are.
     */
    void beginAnswer(HttpRequestNumber request, HttpResponse header, std::optional<std::uint64_t> length);
    void addBody(HttpRequestNumber request, HttpBody piece);
    /** The begun answer is whole. */
    void endAnswer(HttpRequestNumber request);
    /**
     * The begun answer will never be whole. Ends the connection in the middle of it, so that the caller sees that it
     * is broken, and calls callerGone() of the handler if other requests have no answer. Returns false if nothing of
     * the answer was written yet: the request must then be answered in another way.
     */
    bool breakAnswer(HttpRequestNumber request);
    /** Bytes of answers that wait to be written or taken by the caller. */
    std::size_t outgoingBytes() const { return this->output.size() + this->answers.waitingBytes(); }
    /** From now on, no request starts while another is unfinished; the last answer closes the connection. */
    void closeAfterAnswer() { this->closesAfterNewest = true; }
    void close();
    /**
     * Ends an idle connection or one whose caller takes nothing of its answer, one whose caller left, and refuses a
     * request whose header is incomplete, once its time limit has passed.
     */
    void enforceTimeLimits(Milliseconds now);
    /**
     * Ends the connection if the caller has closed it, or its sending side, which a read would tell only later. Returns
     * true if the connection is closed. Costs one system call, or two while bytes are unread.
     */
    bool endIfCallerLeft();

    CloseOrder closeOrder(Milliseconds now) const;
    /** Closes the connection to make room for another one. A request that is not complete is refused as not run. */
    void giveWay();

    std::uint64_t number() const { return this->sessionNumber; }
    const std::string& caller() const { return this->callerAddress; }
    bool isOpen() const { return this->socket.is_open(); }
    /** Returns true while an answer is awaited or being written. */
    bool isUnfinished() const { return !this->answers.isEmpty() || this->isWriting(); }
    /** Returns true if no request is being read or answered and no bytes wait to be read. */
    bool isIdle() const;
    /** Returns true while the next request is awaited or being read. */
    bool awaitsRequest() const { return !this->isUnfinished() && !this->isClosing; }
    Milliseconds lastActiveAt() const { return this->lastActive; }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::basic_dynamic_body<HttpBody>>;

    DropOrder dropOrder() const override;
    void dropBytes() override;
    /** Bytes of what the caller has sent and was not passed on; with an estimate of what was not read yet. */
    std::size_t incomingBytes() const;
    /** True if most of what this session holds is a request that was not passed on. */
    bool holdsRequest() const;
    /** Counts what this session holds; may drop it. */
    void noteMemory();
    bool isWriting() const { return !this->output.messages.empty(); }
    /** Returns true if bytes have arrived that were not read yet; closing the socket would reset the connection. */
    bool hasUnreadBytes() const;
    bool hasCallerLeft();
    void resetParser();
    void read();
    void received(const asio::error_code& error, std::size_t size);
    /** Passes complete requests of the input to the handler as far as they may start, then goes on reading. */
    void processInput();
    /** Returns true if another request may be parsed from the input. */
    bool mayParse() const;
    /** Parses the input; returns true if a request is complete. */
    bool parse();
    bool mayStart(const HttpRequest& request) const;
    void startRequest();
    /** Drops what was read of requests that were not passed on, has this one answered, and closes afterwards. */
    void reportUnreadable(HttpRequestProblem problem);
    void sendContinueIfExpected();
    void writeReady();
    void written(const asio::error_code& error);
    /** Closes the sending side; what the caller still sends is read and dropped for some seconds. */
    void endSending();
    /** Closes the connection, and calls callerGone() of the handler if a request has no answer. */
    void abandon();

    asio::ip::tcp::socket socket;
    std::string callerAddress;
    std::uint64_t sessionNumber;
    HttpSessionHandler* handler;
    const Clock* clock;
    const HttpSessionLimits* limits;
    std::shared_ptr<MemoryBound> memory;
    AnswerQueue answers;
    std::optional<Parser> parser;
    std::optional<ReceivedRequest> completeRequest; // complete, but not passed to the handler yet
    static constexpr std::size_t ReadSize = 8192;
    std::array<char, ReadSize> chunk{};
    std::string input; // read, not yet parsed
    std::size_t headerBytes = 0; // parsed, of the request that is being read
    bool isCounted = false; // holds enough to be counted against the bound on memory
    bool hasMoreToRead = false; // the last read was filled, so more has probably arrived
    ReadyAnswers output; // is being written
    bool isReading = false; // an asynchronous read is in progress
    bool closesAfterNewest = false; // the connection is closed after the answer to the newest request
    bool isRefused = false; // a request was unreadable; what the caller sends from now on is dropped
    bool isClosing = false; // the last answer was written or is being written
    Milliseconds lingersUntil = Never; // closing: time at which a caller that goes on sending is cut off
    bool isContinueHandled = false; // "Expect: 100-continue" of the current request was handled
    Milliseconds requestBeganAt = Never; // time of the first byte of the request that is being read
    Milliseconds lastActive;
};

}
