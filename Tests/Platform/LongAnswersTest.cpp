// Guards the answers that callers get while they come. Answers were held until they were whole: the first byte came
// last, and a stream that outlasted the deadline was a failure without any of its bytes.

#include "Tests/Platform/LoopbackInstance.h"
#include "Tests/Platform/PacedServer.h"

#include <array>
#include <asio/write.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

using End = PacedAnswer::End;

const std::string Length = "Content-Length: 6\r\n\r\n";
const std::string Chunks = "Transfer-Encoding: chunked\r\n\r\n";
const std::string ToTheEnd = "\r\n";
constexpr const char* Body = "abcdef";

/** The time of a server's pause in which the caller must have the first byte; an answer is held for a part of it. */
constexpr Milliseconds FirstByteWithin{ 110 };
/** After the server's end or the deadline. */
constexpr Milliseconds EndsWithin{ 400 };

/** A request and a server's answer to it. */
struct Case {
    const char* name;
    const char* method;
    const char* version; // of the caller's HTTP
    const char* status; // of the server's answer
    std::string framing;
    std::vector<std::string> rest; // the first is sent with the header
    End end;
    bool flows; // the caller gets the first byte before the server has sent the rest
    unsigned wholeStatus; // of the whole answer that the caller gets; 0: none, and its connection ends
    const char* body; // of that answer
    std::size_t requests; // that reach the server
};

const std::vector<Case> Cases{
    { "a length", "GET", "1.1", "200", Length, { "abc", "def" }, End::Keep, true, 200, Body, 1 },
    { "a length, to a run-once request", "POST", "1.1", "200", Length, { "abc", "def" }, End::Keep, true, 200, Body,
        1 },
    { "chunks", "GET", "1.1", "200", Chunks, { "3\r\nabc\r\n", "3\r\ndef\r\n0\r\n\r\n" }, End::Keep, true, 200, Body,
        1 },
    { "chunks cut in their lines", "GET", "1.1", "200", Chunks, { "3\r", "\nabc\r\n3", "\r\ndef\r\n0\r\n\r", "\n" },
        End::Keep, true, 200, Body, 1 },
    { "only the header at first", "GET", "1.1", "200", Chunks, { "", "6\r\nabcdef\r\n0\r\n\r\n" }, End::Keep, true, 200,
        Body, 1 },
    { "the connection's end", "GET", "1.1", "200", ToTheEnd, { "abc", "def" }, End::Close, true, 200, Body, 1 },
    { "a caller's error", "GET", "1.1", "404", Length, { "abc", "def" }, End::Keep, true, 404, Body, 1 },
    { "an older caller, a length", "GET", "1.0", "200", Length, { "abc", "def" }, End::Keep, true, 200, Body, 1 },
    // The connection's end would have to tell this caller that the answer is whole.
    { "an older caller, chunks", "GET", "1.0", "200", Chunks, { "3\r\nabc\r\n", "3\r\ndef\r\n0\r\n\r\n" }, End::Keep,
        false, 200, Body, 1 },
    { "an older caller, the connection's end", "GET", "1.0", "200", ToTheEnd, { "abc", "def" }, End::Close, false, 200,
        Body, 1 },
    { "a server's error, to a run-once request", "POST", "1.1", "500", Length, { "abc", "def" }, End::Keep, false, 500,
        Body, 1 },
    { "no pause", "GET", "1.1", "200", Length, { "abcdef" }, End::Keep, true, 200, Body, 1 },
    // Broken off behind a pause: no further try, and nothing that looks whole.
    { "short of the length", "GET", "1.1", "200", Length, { "abc", "de" }, End::Close, true, 0, "", 1 },
    { "short of the length, to a run-once request", "POST", "1.1", "200", Length, { "abc", "de" }, End::Close, true, 0,
        "", 1 },
    { "short of the last chunk", "GET", "1.1", "200", Chunks, { "3\r\nabc\r\n", "3\r\ndef\r\n" }, End::Close, true, 0,
        "", 1 },
    { "short of the last line", "GET", "1.1", "200", Chunks, { "3\r\nabc\r\n", "3\r\ndef\r\n0\r\n" }, End::Close, true,
        0, "", 1 },
    { "a reset before the connection's end", "GET", "1.1", "200", ToTheEnd, { "abc", "def" }, End::Reset, true, 0, "",
        1 },
    { "no chunks", "GET", "1.1", "200", Chunks, { "3\r\nabc\r\n", "no chunk" }, End::Hang, true, 0, "", 1 },
    { "an older caller, short of the length", "GET", "1.0", "200", Length, { "abc", "de" }, End::Close, true, 0, "",
        1 },
    { "silence until the deadline", "GET", "1.1", "200", Length, { "abc", "de" }, End::Hang, true, 0, "", 1 },
    // Broken off at once: nothing was passed on yet.
    { "short of the length at once, to a run-once request", "POST", "1.1", "200", Length, { "abc" }, End::Close, true,
        502, "", 1 },
};

std::string headOf(const Case& item, std::string_view request)
{
    constexpr std::string_view field = "Request-Id: ";
    const std::size_t id = request.find(field);
    const std::string idLine(request.substr(id, request.find("\r\n", id) + 2 - id));
    return std::string("HTTP/1.1 ") + item.status + " x\r\nServer-Signature: s\r\n" + idLine + item.framing;
}

PacedAnswer answerOf(const Case& item, std::string_view request)
{
    PacedAnswer answer{ .pieces = item.rest, .end = item.end };
    answer.pieces.front() = headOf(item, request) + answer.pieces.front();
    return answer;
}

/** A caller's connection to an instance. */
class Connection {
public:
    Connection(asio::io_context& context, LoopbackInstance& givenInstance)
        : instance(&givenInstance)
        , socket(context)
    {
        this->socket.connect({ asio::ip::address_v4::loopback(), givenInstance.callersAddress().port });
        this->socket.non_blocking(true);
    }

    void send(const std::string& method, const std::string& path, const std::string& id, const std::string& version)
    {
        asio::write(this->socket,
            asio::buffer(method + " " + path + " HTTP/" + version
                + "\r\nHost: x.example\r\nDeadline-Ms: 1000\r\nContent-Length: 0\r\nRequest-Id: " + id + "\r\n\r\n"));
    }

    /** Reads until something has come or the connection has ended; returns how long that took. */
    Milliseconds waitForBytes(Milliseconds longest)
    {
        return this->runUntil(longest, [this] { return !this->bytes.empty() || this->hasEnded; });
    }

    /** Reads until the first answer is whole or the connection has ended; returns how long that took. */
    Milliseconds waitForAnswer(Milliseconds longest)
    {
        return this->runUntil(longest, [this] { return this->nextAnswer(false) || this->hasEnded; });
    }

    Milliseconds waitForEnd(Milliseconds longest)
    {
        return this->runUntil(longest, [this] { return this->hasEnded; });
    }

    using Answer = boost::beast::http::response<boost::beast::http::string_body>;

    /** The next whole answer in what has come; removes its bytes. */
    std::optional<Answer> takeAnswer() { return this->nextAnswer(true); }

    void close() { this->socket.close(); }

    std::string bytes;
    bool hasEnded = false;

private:
    template <typename Condition>
    Milliseconds runUntil(Milliseconds longest, Condition condition)
    {
        const SteadyClock clock;
        const Milliseconds start = clock.now();
        while (!condition() && clock.now() - start < longest) {
            this->instance->runFor({ 1 });
            this->read();
        }
        return clock.now() - start;
    }

    void read()
    {
        std::array<char, 4096> buffer{};
        asio::error_code error;
        this->bytes.append(buffer.data(), this->socket.read_some(asio::buffer(buffer), error));
        this->hasEnded = this->hasEnded || (error && error != asio::error::would_block);
    }

    std::optional<Answer> nextAnswer(bool takesBytes)
    {
        boost::beast::http::response_parser<boost::beast::http::string_body> parser;
        parser.eager(true);
        boost::beast::error_code error;
        std::string_view left = this->bytes;
        while (!left.empty() && !error && !parser.is_done())
            left.remove_prefix(parser.put(boost::asio::buffer(left.data(), left.size()), error));
        if (error || !parser.is_done())
            return std::nullopt;
        if (takesBytes)
            this->bytes = std::string(left);
        return parser.release();
    }

    LoopbackInstance* instance;
    asio::ip::tcp::socket socket;
};

}

TEST_GROUP(LongAnswers)
{
    std::unique_ptr<asio::io_context> context; // must outlive the objects below
    std::unique_ptr<LoopbackInstance> instance;
    std::unique_ptr<PacedServer> server;

    void begin(PacedServer::Script script)
    {
        this->instance.reset();
        this->server.reset();
        this->context = std::make_unique<asio::io_context>();
        this->instance = std::make_unique<LoopbackInstance>(*this->context);
        this->server = std::make_unique<PacedServer>(*this->context, std::move(script));
        this->instance->putServer("i-a", this->server->address());
    }

    void check(const Case& item)
    {
        this->begin([&item](std::string_view request) { return answerOf(item, request); });
        Connection caller(*this->context, *this->instance);
        const bool isRunOnce = std::string_view(item.method) == "POST";
        caller.send(item.method, isRunOnce ? "/once/a" : "/a/a", "r-1", item.version);
        const Milliseconds first = caller.waitForBytes({ 1500 });
        if (item.rest.size() > 1)
            CHECK_EQUAL_TEXT(item.flows, first < FirstByteWithin, item.name);
        constexpr Milliseconds longest{ 1800 };
        caller.waitForAnswer(longest);
        const auto answer = caller.takeAnswer();
        LONGS_EQUAL_TEXT(item.wholeStatus, answer ? answer->result_int() : 0, item.name);
        CHECK_TEXT(answer.has_value() || caller.hasEnded, item.name);
        if (answer && item.wholeStatus != 502)
            STRCMP_EQUAL_TEXT(item.body, answer->body().c_str(), item.name);
        if (answer)
            STRCMP_EQUAL_TEXT("", caller.bytes.c_str(), item.name);
        LONGS_EQUAL_TEXT(item.requests, this->server->requests(), item.name);
        // A whole answer leaves the connection usable.
        const bool isKept = answer && std::string_view(item.version) == "1.1";
        CHECK_TEXT(!isKept || !caller.hasEnded, item.name);
    }
};

TEST(LongAnswers, AreWholeForCallersOrEndTheirConnections)
{
    for (const Case& item : Cases)
        this->check(item);
}

// While nothing is passed on, a broken answer costs its caller nothing.
TEST(LongAnswers, ThatBreakOffAtOnceAreTriedAgain)
{
    constexpr std::size_t earlierRequests = 30; // which earn the budget for retries
    const Case& whole = Cases.front();
    const auto answerAtOnce = [&whole](std::string_view request, const char* body, End end) {
        return PacedAnswer{ .pieces = { headOf(whole, request) + body }, .end = end };
    };
    bool breaksNext = false;
    this->begin([&](std::string_view request) {
        const bool breaks = std::exchange(breaksNext, false);
        return answerAtOnce(request, breaks ? "abc" : Body, breaks ? End::Close : End::Keep);
    });
    for (std::size_t request = 0; request < earlierRequests; ++request)
        LONGS_EQUAL(200, this->instance->call().status);
    breaksNext = true;
    const CallerAnswer answer = this->instance->call();
    LONGS_EQUAL(200, answer.status);
    CHECK(answer.text.ends_with(Body));
    LONGS_EQUAL(earlierRequests + 2, this->server->requests());
}

TEST(LongAnswers, LeaveTheConnectionToTheNextRequest)
{
    const Case& item = Cases.front();
    this->begin([&item](std::string_view request) { return answerOf(item, request); });
    Connection caller(*this->context, *this->instance);
    // The second is read while the answer to the first comes.
    caller.send("GET", "/a/1", "r-1", "1.1");
    caller.waitForBytes({ 1000 });
    caller.send("POST", "/once/2", "r-2", "1.1");
    for (const char* id : { "r-1", "r-2" }) {
        caller.waitForAnswer({ 1000 });
        const auto answer = caller.takeAnswer();
        CHECK(answer.has_value());
        STRCMP_EQUAL(id, std::string((*answer)["Request-Id"]).c_str());
        STRCMP_EQUAL(Body, answer->body().c_str());
    }
    LONGS_EQUAL(2, this->server->requests());
}

TEST(LongAnswers, EndTheServersWorkWhenTheCallerLeaves)
{
    const Case& item = Cases.front();
    this->begin([&item](std::string_view request) {
        PacedAnswer answer = answerOf(item, request);
        answer.end = End::Hang;
        answer.pieces.back() = "d";
        return answer;
    });
    Connection caller(*this->context, *this->instance);
    caller.send("GET", "/a/1", "r-1", "1.1");
    CHECK(caller.waitForBytes({ 1000 }) < FirstByteWithin);
    caller.close();
    this->instance->runFor({ 100 });
    LONGS_EQUAL(1, this->server->cutOff());
}

// Nothing that follows on the connection could be told from the rest of the broken answer.
TEST(LongAnswers, ThatBreakOffEndTheRequestsBehindThem)
{
    this->begin([](std::string_view request) {
        const Case& whole = Cases.front();
        PacedAnswer answer = answerOf(whole, request);
        if (request.find("/a/broken") != std::string_view::npos) {
            answer.pieces.back() = "d";
            answer.end = End::Close;
        }
        return answer;
    });
    Connection caller(*this->context, *this->instance);
    caller.send("GET", "/a/broken", "r-1", "1.1");
    caller.waitForBytes({ 1000 });
    caller.send("POST", "/once/2", "r-2", "1.1");
    CHECK(caller.waitForEnd({ 1000 }) < EndsWithin);
    CHECK(!caller.takeAnswer().has_value());
    CHECK(caller.bytes.ends_with("abcd"));
    this->instance->runFor({ 50 });
    LONGS_EQUAL_TEXT(1, this->server->requests(), "the second request has not run");
}
