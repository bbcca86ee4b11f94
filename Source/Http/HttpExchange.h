#pragma once

#include "Base/Clock.h"
#include "Base/NetworkAddress.h"
#include "Http/AnswerMatch.h"
#include "Http/AnswerProblem.h"
#include "Http/HttpConnection.h"
#include "Http/HttpMessage.h"
#include "Http/MemoryBound.h"
#include "Http/RelayRequest.h"
#include "Http/RelayStreamReader.h"
#include "Timers/Timer.h"

#include <array>
#include <asio/io_context.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace burlreach {

enum class HttpExchangeResult {
    Answered, // a complete answer was received
    NotSent, // no byte of the request can have reached the server
    Broken, // the connection ended before the answer was complete, or the bytes received are no valid answer
    TimedOut
};

/** How an exchange ended. */
struct HttpExchangeEnd {
    HttpExchangeResult result = HttpExchangeResult::Broken;
    AnswerProblem problem = AnswerProblem::None; // why the result is Broken
    std::optional<HttpResponse> response; // without its body if that was passed on
    std::optional<Milliseconds>
        sinceHeader; // from the answer's header to the end; empty: no header, or all came at once
    std::shared_ptr<HttpConnection> connection; // may be reused; null: it was closed
    bool isReused = false; // the exchange began on a kept connection
    std::error_code connectError; // why no new connection was established; timed_out when nothing answered
    std::optional<RelayReply> relayReply; // of the instance through which a new connection was opened
};

/**
 * Sends one request to a server and receives the whole answer, on one
 * connection.
 *
 * The connection may be reused only if the request was written whole, the
 * answer had a length or chunks, no answer to another request was skipped and
 * no bytes followed the answer.
 *
 * An answer without a length is whole when its connection ends in order. The
 * kernel reports a reset once, to the write if one is in progress, so the end
 * counts only after the request was written without an error. The end of a
 * relayed connection may be that of the relay, so there the relay must have
 * told that the server has ended.
 *
 * An answer is held until it is whole, unless the server pauses in the middle of it or takes long for the rest: then
 * it can be passed on while it comes. What the receiver does not take is not read from the server while it is paused.
 *
 * A server may send bytes without end. An exchange bounds what it holds of a
 * header, of a line that frames a chunk, and of the body, the number of answers
 * that it skips, and the sum of all bytes; MemoryBound bounds all bodies together.
 */
class HttpExchange : public std::enable_shared_from_this<HttpExchange>, private MemoryHolder {
public:
    struct Options {
        NetworkAddress address;
        std::optional<RelayTarget> relay; // connect through this instance; such a connection is used once
        Milliseconds relayTimeout{ 400 }; // in place of connectTimeout, for the connections to and from the relay
        std::string request; // encoded; only the header if the body is apart
        std::shared_ptr<const HttpBody> body; // sent behind `request`; null: none
        std::string requestId; // by which its connection is kept from later tries of the same request; may be empty
        bool isHeadRequest = false; // a HEAD request; its answer has no body
        Milliseconds connectTimeout{ 250 };
        Milliseconds timeout = Never; // from the start of writing to the end of the answer
        bool isIdleTimeout = false; // the timeout restarts whenever bytes are received
        std::size_t maxAnswerBytes = 67108864; // bytes of the body
        std::shared_ptr<MemoryBound> memory; // bounds the answers of several exchanges; null: no bound
        /**
         * Judges the header of a final answer. One to another request is skipped, no answer ends the exchange at once.
         * Empty: all answers are accepted.
         */
        std::function<AnswerMatch(const HttpResponse&)> match;
        /**
         * Called once for the header of each answer, before its body is complete. Also called for answers that are
         * skipped or break off later, but not for what is no answer. May be empty.
         */
        std::function<void(const HttpResponse&)> headerReceived;
        /** An answer in the middle of which the server sends nothing for so long is passed on. */
        Milliseconds longestPause{ 50 };
        /** An answer of little data that is not whole so long after its header is passed on. */
        Milliseconds longestHold{ 1000 };
        /** In bytes. An answer of more data than this that comes without a pause is held until it is whole. */
        std::size_t littleData = 1048576;
        /**
         * Asked once whether an answer of which a part has come is passed on, with its header and the length of its
         * body if it is known. If so, the body goes to `bodyReceived`, and the response of the end has none. Empty:
         * answers are held until they are whole.
         */
        std::function<bool(const HttpResponse&, std::optional<std::uint64_t>)> passOn;
        std::function<void(HttpBody)> bodyReceived;
    };
    using Completion = std::function<void(HttpExchangeEnd)>;

    HttpExchange(asio::io_context& context, Options options, Completion completion);
    ~HttpExchange() override;
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    /** Starts the exchange on this connection, or on a new one if it is null. */
    void start(std::shared_ptr<HttpConnection> kept);
    /** Closes the connection, so that what was not delivered never will be; the completion is not called. */
    void cancel();
    /** Returns false while the connection is being made, when no byte of the request was sent. */
    bool hasBegunWriting() const { return this->isWritingBegun; }
    /** Ends the exchange with the result NotSent; has no effect once writing has begun. */
    void abortUnsent();
    /** Reads nothing from the server until resume() is called. */
    void pause() { this->isPaused = true; }
    void resume();
    bool isReadingPaused() const { return this->isPaused; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::basic_dynamic_body<HttpBody>>;

    DropOrder dropOrder() const override;
    void dropBytes() override;
    void connect();
    void connected();
    void write();
    void read();
    void received(const asio::error_code& error, std::size_t size);
    /** Adds bytes that were read to the input; false if the relay sent what it must not. */
    bool addInput(std::string_view bytes);
    /** Ends the exchange, or lets its write end it, after the connection's last byte. */
    void readingEnded(const asio::error_code& error);
    /** True while a relay that sends chunks has not told that the server has ended its connection. */
    bool awaitsServerEnd() const;
    void parse();
    /** Ends the exchange after an orderly end of the connection, once the request's write has ended too. */
    void connectionEnded();
    bool isAnswerWithoutLength() const;
    /** True if the end of the connection tells that the server has ended it. */
    bool isServerEndKnown() const;
    bool finishAnswerWithoutLength();
    /** Judges and reports the header once it is complete; false if it ended the exchange. */
    bool acceptHeader();
    /** The answer is not whole yet: waits until it must be passed on, unless that was decided. */
    void watchHold();
    void holdExpired();
    /** True if a part of the answer can be passed on: the end of the connection will tell whether it is whole. */
    bool mayPassOn() const;
    /** Passes on what has come of the body; false if the receiver has cancelled the exchange. */
    bool passBody();
    void answerComplete();
    /** Checks the limits on received bytes; false if one of them ended the exchange. */
    bool isWithinLimits();
    void resetParser();
    void startTimeout(Milliseconds duration, HttpExchangeResult result);
    void finish(HttpExchangeResult result, std::optional<HttpResponse> response);
    void finishBroken(AnswerProblem problem);
    bool mayReuseConnection(const HttpResponse& response) const;
    void leaveMemory();
    /** Closes the connection by a reset: the kernel would otherwise deliver a request that was given up, even later. */
    void resetConnection();
    void closeConnection();

    Options options;
    Completion completion;
    EncodedMessage request;
    asio::io_context* context;
    Timer timer;
    Timer holdTimer;
    TimerClock::time_point headerAt; // when the header of the answer was accepted
    TimerClock::time_point lastReadAt;
    unsigned timeoutNumber = 0; // identifies the timeout in force; expiries of earlier ones are ignored
    std::shared_ptr<HttpConnection> connection;
    std::optional<Parser> parser;
    static constexpr std::size_t ReadSize = 8192;
    std::array<char, ReadSize> chunk{};
    std::string input; // read, not yet parsed
    std::size_t receivedBytes = 0;
    unsigned skippedAnswers = 0; // interim answers, and answers to other requests
    bool isWritingBegun = false;
    bool isWriteOver = false; // the write of the request has ended, wholly or with an error
    bool isWritten = false;
    bool hasConnectionEnded = false;
    bool isReused = false;
    std::error_code connectError;
    std::optional<RelayReply> relayReply;
    std::optional<RelayStreamReader> relayed; // empty: the server's bytes come as they are
    bool hasSkippedAnswer = false; // an answer to another request was skipped
    bool isHeaderAccepted = false; // of the answer that is being read
    AnswerMatch matched = AnswerMatch::Own; // of the answer that is being read
    AnswerProblem problem = AnswerProblem::None;
    bool isHoldWatched = false; // the hold timer runs, or has told whether the answer is passed on
    bool isPassedOn = false;
    bool isPaused = false;
    bool isReadDue = false; // put off while paused
    bool isFinished = false;
};

}
