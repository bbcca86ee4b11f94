#pragma once

#include "Base/Clock.h"
#include "Base/NetworkAddress.h"
#include "Http/HttpConnection.h"
#include "Http/HttpMessage.h"
#include "Timers/Timer.h"

#include <array>
#include <asio/io_context.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace burlreach {

enum class HttpExchangeResult {
    Answered, // a whole answer
    NotSent, // no byte of the request can have reached the server
    Broken, // the connection ended before a whole answer, or what came is no answer
    TimedOut
};

/** How an exchange ended. */
struct HttpExchangeEnd {
    HttpExchangeResult result = HttpExchangeResult::Broken;
    std::optional<HttpResponse> response;
    std::shared_ptr<HttpConnection> connection; // to be kept for the next exchange; null: it was closed
};

/**
 * One request to a server and its whole answer, on one connection.
 *
 * The connection is kept only after a clean exchange: the request was written
 * whole, the answer was framed, and nothing came behind it.
 */
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
    struct Options {
        NetworkAddress address;
        std::string request; // its bytes
        bool isHead = false;
        Milliseconds connectTimeout{ 250 };
        Milliseconds timeout = Never; // for the whole exchange
        bool isTimeoutOfSilence = false; // the time-out begins anew with each byte of the answer
        std::size_t longestAnswer = 67108864;
        /** False for an answer that belongs to another request; it is skipped. Empty: all are taken. */
        std::function<bool(const HttpResponse&)> isOwnAnswer;
        /**
         * Called once for each answer when its header is there, also for one that is skipped or breaks off later. The
         * body has not come by then. Empty: nobody asks.
         */
        std::function<void(const HttpResponse&)> headerRead;
    };
    using Completion = std::function<void(HttpExchangeEnd)>;

    HttpExchange(asio::io_context& context, Options options, Completion completion);

    /** Goes over this connection, or over a new one when it is null. */
    void start(std::shared_ptr<HttpConnection> kept);
    /** Closes the connection; the completion is not called. */
    void cancel();
    /** False while the connection is being made: no byte of the request has left. */
    bool hasBegunWriting() const { return this->writingBegun; }
    /** Ends it as not sent; only before the writing has begun. */
    void endUnsent();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void write();
    void read();
    void received(const asio::error_code& error, std::size_t size);
    void parse();
    bool finishUnframed();
    void tellHeader();
    void answerParsed();
    void newParser();
    void limitTime(Milliseconds span, HttpExchangeResult result);
    void finish(HttpExchangeResult result, std::optional<HttpResponse> response);
    bool mayKeep(const HttpResponse& response) const;
    void closeConnection();

    Options options;
    Completion completion;
    asio::io_context* context;
    Timer timer;
    unsigned limitNumber = 0; // the limit in force; earlier ones say nothing
    std::shared_ptr<HttpConnection> connection;
    std::optional<Parser> parser;
    static constexpr std::size_t ReadSize = 8192;
    std::array<char, ReadSize> chunk{};
    std::string input; // read, not yet parsed
    bool writingBegun = false;
    bool isWritten = false;
    bool isReused = false;
    bool isSkipping = false; // an answer of another request came before
    bool isHeaderTold = false; // of the answer that is being read
    bool isOver = false;
};

}
