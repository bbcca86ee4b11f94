#include "Http/HttpExchange.h"
#include "Base/SteadyClock.h"
#include "Http/HttpConnectionPool.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <string>
#include <thread>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

/** What a server sends as soon as it has read a request, and what it does afterwards. */
struct Script {
    std::string bytes;
    bool closes = false;
    bool resets = false;
    std::chrono::milliseconds afterEachByte{ 0 }; // pause after each byte that is sent
    std::chrono::milliseconds beforeEnd{ 0 }; // pause before the connection is closed or reset
    bool readsRest = false; // ends its sending side, and reads the request to its end before it closes
};

/** Accepts one connection and follows its script. */
class ScriptedServer {
public:
    explicit ScriptedServer(Script givenScript)
        : script(std::move(givenScript))
        , acceptor(this->context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , thread([this] { this->serve(); })
    {
    }

    ~ScriptedServer() { this->thread.join(); }
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    NetworkAddress address() const { return { .host = "127.0.0.1", .port = this->acceptor.local_endpoint().port() }; }

private:
    void serve()
    {
        asio::ip::tcp::socket socket(this->context);
        this->acceptor.accept(socket);
        std::array<char, 4096> buffer{};
        asio::error_code ignored;
        socket.read_some(asio::buffer(buffer), ignored);
        this->send(socket);
        if (this->script.readsRest)
            socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        std::this_thread::sleep_for(this->script.beforeEnd);
        while (this->script.readsRest && !ignored)
            socket.read_some(asio::buffer(buffer), ignored);
        if (this->script.resets)
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
        if (this->script.closes || this->script.resets) {
            // Closed here because the socket's destructor would undo the linger option.
            socket.close(ignored);
            return;
        }
        // Wait until the other side closes the connection.
        socket.read_some(asio::buffer(buffer), ignored);
    }

    void send(asio::ip::tcp::socket& socket) const
    {
        asio::error_code ignored;
        if (!this->script.afterEachByte.count()) {
            asio::write(socket, asio::buffer(this->script.bytes), ignored);
            return;
        }
        for (const char& byte : this->script.bytes) {
            asio::write(socket, asio::buffer(&byte, 1), ignored);
            std::this_thread::sleep_for(this->script.afterEachByte);
        }
    }

    Script script;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};

const std::string Ok = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 2\r\n\r\nhi";
const std::string Foreign = "HTTP/1.1 200 OK\r\nRequest-Id: q\r\nContent-Length: 3\r\n\r\nold";
const std::string Unframed = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\nhi";

const std::string Length = "Content-Length: 2\r\n\r\n";
const std::string Zero(1, '\0');
const std::string Chunks
    = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n"; // the last line is
                                                                                                // missing

/** The begin of the header of an answer; a status and a reason follow the version. */
std::string headOf(const std::string& status)
{
    return "HTTP/1.1 " + status + "\r\nRequest-Id: r\r\n";
}

/** A request with a body that the buffers of a connection do not hold. */
std::string largeUpload()
{
    constexpr std::size_t bodyBytes = 20000000;
    std::string request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    request.resize(request.size() + bodyBytes, 'b');
    return request;
}

struct Case {
    const char* name;
    Script script;
    HttpExchangeResult result;
    const char* body;
    bool isKept;
};

constexpr HttpExchangeResult Answered = HttpExchangeResult::Answered;
constexpr HttpExchangeResult Broken = HttpExchangeResult::Broken;

const std::vector<Case> Cases{
    { "a complete answer", { Ok }, Answered, "hi", true },
    { "in chunks",
        { "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1\r\ni\r\n0\r\n\r\n" },
        Answered, "hi", true },
    { "with Connection: close",
        { "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi" }, Answered, "hi",
        false },
    { "followed by other bytes", { Ok + "garbage" }, Answered, "hi", false },
    { "followed by a second answer", { Ok + Ok }, Answered, "hi", false },
    { "after an answer to another request", { Foreign + Ok }, Answered, "hi", false },
    { "after an interim answer", { "HTTP/1.1 100 Continue\r\n\r\n" + Ok }, Answered, "hi", true },
    { "after an interim answer without a name", { "HTTP/1.1 103 x\r\n\r\n" + Ok }, Answered, "hi", true },
    { "a change of protocol", { "HTTP/1.1 101 x\r\nUpgrade: y\r\n\r\n" + Ok }, Broken, "", false },
    { "no answer, before the own one", { "HTTP/1.1 503 x\r\nContent-Length: 2\r\n\r\nno" + Ok }, Broken, "", false },
    { "a status without a class, 000", { headOf("000 x") + Length + "hi" }, Broken, "", false },
    { "a status without a class, 099", { headOf("099 x") + Length + "hi" }, Broken, "", false },
    { "a status of four digits", { headOf("2000 x") + Length + "hi" }, Broken, "", false },
    { "a status of two digits", { headOf("20 x") + Length + "hi" }, Broken, "", false },
    { "a status that is no number", { headOf("2x0 x") + Length + "hi" }, Broken, "", false },
    { "an interim answer with the status 000", { "HTTP/1.1 000 x\r\n\r\n" + Ok }, Broken, "", false },
    { "a name with a blank", { headOf("200 x") + "a b: c\r\n" + Length + "hi" }, Broken, "", false },
    { "a blank behind a name", { headOf("200 x") + "ab : c\r\n" + Length + "hi" }, Broken, "", false },
    { "a blank before the first name", { "HTTP/1.1 200 x\r\n ab: c\r\nRequest-Id: r\r\n" + Length + "hi" }, Broken, "",
        false },
    { "a value of two lines", { headOf("200 x") + "ab: c\r\n d\r\n" + Length + "hi" }, Answered, "hi", true },
    { "a tab in a name", { headOf("200 x") + "a\tb: c\r\n" + Length + "hi" }, Broken, "", false },
    { "a control byte in a name", { headOf("200 x") + "a\x01b: c\r\n" + Length + "hi" }, Broken, "", false },
    { "a zero byte in a name", { headOf("200 x") + "a" + Zero + "b: c\r\n" + Length + "hi" }, Broken, "", false },
    { "DEL in a name", { headOf("200 x") + "a\x7f" + "b: c\r\n" + Length + "hi" }, Broken, "", false },
    { "a byte above 127 in a name", { headOf("200 x") + "a\xe4" + "b: c\r\n" + Length + "hi" }, Broken, "", false },
    { "an empty name", { headOf("200 x") + ": c\r\n" + Length + "hi" }, Broken, "", false },
    { "a name without a colon", { headOf("200 x") + "ab\r\n" + Length + "hi" }, Broken, "", false },
    { "a control byte in a value", { headOf("200 x") + "ab: c\x01\r\n" + Length + "hi" }, Broken, "", false },
    { "a zero byte in a value", { headOf("200 x") + "ab: c" + Zero + "\r\n" + Length + "hi" }, Broken, "", false },
    { "a carriage return in a value", { headOf("200 x") + "ab: c\rd\r\n" + Length + "hi" }, Broken, "", false },
    { "a blank that hides the length", { headOf("200 x") + "Content-Length : 2\r\n\r\nhi" }, Broken, "", false },
    { "a blank that hides the chunks", { headOf("200 x") + "Transfer-Encoding : chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n" },
        Broken, "", false },
    { "a name with a blank in an interim answer", { "HTTP/1.1 103 x\r\na b: c\r\n\r\n" + Ok }, Broken, "", false },
    { "a control byte in a name of an interim answer", { "HTTP/1.1 103 x\r\na\x01: c\r\n\r\n" + Ok }, Broken, "",
        false },
    { "a name with a blank in an answer in chunks",
        { headOf("200 x") + "a b: c\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n" }, Broken, "", false },
    { "a name with a blank in a trailer", { Chunks + "a b: c\r\n\r\n" }, Broken, "", false },
    { "a control byte in a name of a trailer", { Chunks + "a\x01: c\r\n\r\n" }, Broken, "", false },
    { "chunks without the last line", { Chunks, true, false }, Broken, "", false },
    { "two lengths that differ", { headOf("200 x") + "Content-Length: 2\r\nContent-Length: 1\r\n\r\nhi" }, Broken, "",
        false },
    { "a length and chunks",
        { headOf("200 x") + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n" }, Broken, "",
        false },
    { "a chunk size that is no number", { headOf("200 x") + "Transfer-Encoding: chunked\r\n\r\n-2\r\nhi\r\n0\r\n\r\n" },
        Broken, "", false },
    { "a status of no class", { "HTTP/1.1 600 x\r\nRequest-Id: r\r\nContent-Length: 2\r\n\r\nhi" }, Broken, "", false },
    { "without a length, orderly close", { Unframed, true, false }, Answered, "hi", false },
    { "without a length, reset", { Unframed, false, true }, Broken, "", false },
    { "cut in its body", { "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 9\r\n\r\nhi", true, false }, Broken, "",
        false },
    { "cut in its chunks",
        { "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", true, false }, Broken,
        "", false },
    { "cut in its header", { "HTTP/1.1 200 OK\r\nRequ", true, false }, Broken, "", false },
    { "closed without an answer", { "", true, false }, Broken, "", false },
    { "bytes that are not HTTP", { "\x01\x02\x03 not an answer\r\n\r\n" }, Broken, "", false },
    { "only an answer to another request", { Foreign, true, false }, Broken, "", false },
    { "no answer", { "" }, HttpExchangeResult::TimedOut, "", false },
};

AnswerMatch matchOwn(const HttpResponse& response)
{
    const std::string_view id = valueOf(response, "Request-Id");
    if (id.empty())
        return AnswerMatch::NoAnswer;
    return id == "r" ? AnswerMatch::Own : AnswerMatch::OtherRequest;
}

}

TEST_GROUP(HttpExchange){};

TEST(HttpExchange, ReturnsOnlyCompleteAnswersAndReusableConnections)
{
    for (const Case& item : Cases) {
        const ScriptedServer server(item.script);
        asio::io_context context;
        HttpExchangeResult result = HttpExchangeResult::NotSent;
        std::string body;
        bool isKept = false;
        const auto exchange = std::make_shared<HttpExchange>(context,
            HttpExchange::Options{ .address = server.address(),
                .request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
                .timeout = { 300 },
                .match = &matchOwn },
            [&](HttpExchangeEnd end) {
                result = end.result;
                body = end.response ? textOf(end.response->body()) : "";
                isKept = end.connection != nullptr;
            });
        exchange->start(nullptr);
        context.run();
        CHECK_TEXT(result == item.result, item.name);
        STRCMP_EQUAL_TEXT(item.body, body.c_str(), item.name);
        CHECK_TEXT(isKept == item.isKept, item.name);
    }
}

// A server that answers before it has read the request, and then ends the connection, resets it: its unread bytes are
// lost. The kernel reports a reset once. The write that was under way took the report, the read behind it saw an
// orderly end, and the part of an answer without a length that had come passed as the whole answer.
TEST(HttpExchange, AnAnswerWithoutALengthIsNotWholeIfItsConnectionIsResetDuringTheRequest)
{
    struct Early {
        const char* name;
        bool resets; // otherwise closes with unread bytes
        std::chrono::milliseconds beforeEnd;
    };
    const std::vector<Early> rows{
        { "reset at once", true, std::chrono::milliseconds(0) },
        { "reset later", true, std::chrono::milliseconds(50) },
        { "closed at once", false, std::chrono::milliseconds(0) },
        { "closed later", false, std::chrono::milliseconds(50) },
    };
    constexpr int runs = 4;
    for (int run = 0; run < runs; ++run) {
        for (const Early& row : rows) {
            const ScriptedServer server(
                { .bytes = Unframed, .closes = !row.resets, .resets = row.resets, .beforeEnd = row.beforeEnd });
            asio::io_context context;
            HttpExchangeResult result = HttpExchangeResult::NotSent;
            const auto exchange = std::make_shared<HttpExchange>(context,
                HttpExchange::Options{
                    .address = server.address(), .request = largeUpload(), .timeout = { 5000 }, .match = &matchOwn },
                [&](const HttpExchangeEnd& end) { result = end.result; });
            exchange->start(nullptr);
            context.run();
            CHECK_TEXT(result == Broken, row.name);
        }
    }
}

// A server may end its answer in order and read the rest of the request afterwards.
TEST(HttpExchange, AnAnswerWithoutALengthIsWholeIfItsServerReadsTheRestOfTheRequest)
{
    const ScriptedServer server(
        { .bytes = Unframed, .closes = true, .beforeEnd = std::chrono::milliseconds(50), .readsRest = true });
    asio::io_context context;
    HttpExchangeResult result = HttpExchangeResult::NotSent;
    const auto exchange = std::make_shared<HttpExchange>(context,
        HttpExchange::Options{
            .address = server.address(), .request = largeUpload(), .timeout = { 5000 }, .match = &matchOwn },
        [&](const HttpExchangeEnd& end) { result = end.result; });
    exchange->start(nullptr);
    context.run();
    CHECK(result == Answered);
}

TEST(HttpExchange, ARefusedConnectionMeansNotSent)
{
    asio::io_context context;
    asio::ip::tcp::acceptor closed(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const std::uint16_t port = closed.local_endpoint().port();
    closed.close();
    HttpExchangeResult result = HttpExchangeResult::Broken;
    const auto exchange = std::make_shared<HttpExchange>(context,
        HttpExchange::Options{ .address = { .host = "127.0.0.1", .port = port }, .request = "GET / HTTP/1.1\r\n\r\n" },
        [&](const HttpExchangeEnd& end) { result = end.result; });
    exchange->start(nullptr);
    context.run();
    CHECK(result == HttpExchangeResult::NotSent);
}

TEST(HttpExchange, IgnoresAConnectTimeoutThatIsDueTogetherWithTheConnection)
{
    // In a busy process, the expired timeout and the established connection can be ready in the same poll.
    const ScriptedServer server({ Ok });
    asio::io_context context;
    HttpExchangeResult result = HttpExchangeResult::Broken;
    const auto exchange = std::make_shared<HttpExchange>(context,
        HttpExchange::Options{ .address = server.address(),
            .request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
            .connectTimeout = { 10 },
            .timeout = { 2000 },
            .match = &matchOwn },
        [&](const HttpExchangeEnd& end) { result = end.result; });
    asio::post(context, [&] {
        exchange->start(nullptr);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    });
    context.run();
    CHECK(result == HttpExchangeResult::Answered);
}

// A large answer over a busy link may take longer than the timeout while bytes keep arriving.
TEST(HttpExchange, AnIdleTimeoutRestartsWithEachByte)
{
    for (const bool isOfSilence : { true, false }) {
        // 55 bytes, 10 ms each.
        const ScriptedServer server({ .bytes = Ok, .afterEachByte = std::chrono::milliseconds(10) });
        asio::io_context context;
        HttpExchangeResult result = HttpExchangeResult::Broken;
        const auto exchange = std::make_shared<HttpExchange>(context,
            HttpExchange::Options{ .address = server.address(),
                .request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
                .timeout = { 250 },
                .isIdleTimeout = isOfSilence },
            [&](const HttpExchangeEnd& end) { result = end.result; });
        exchange->start(nullptr);
        context.run();
        CHECK(result == (isOfSilence ? HttpExchangeResult::Answered : HttpExchangeResult::TimedOut));
    }
}

// The server may have run the request before it closed the connection.
TEST(HttpExchange, AReusedConnectionThatClosesMeansBroken)
{
    const ScriptedServer server({ "", true, false });
    asio::io_context context;
    asio::ip::tcp::socket opened(context);
    opened.connect({ asio::ip::address_v4::loopback(), server.address().port });
    opened.non_blocking(true);
    HttpExchangeResult result = HttpExchangeResult::NotSent;
    const auto exchange = std::make_shared<HttpExchange>(context,
        HttpExchange::Options{ .address = server.address(), .request = "POST / HTTP/1.1\r\nHost: a\r\n\r\n" },
        [&](const HttpExchangeEnd& end) { result = end.result; });
    exchange->start(std::make_shared<HttpConnection>(std::move(opened)));
    context.run();
    CHECK(result == HttpExchangeResult::Broken);
}

TEST(HttpExchange, ACancelledExchangeDoesNotComplete)
{
    const ScriptedServer server({ "" });
    asio::io_context context;
    bool wasCalled = false;
    const auto exchange = std::make_shared<HttpExchange>(context,
        HttpExchange::Options{ .address = server.address(), .request = "GET / HTTP/1.1\r\n\r\n" },
        [&](const HttpExchangeEnd&) { wasCalled = true; });
    exchange->start(nullptr);
    asio::steady_timer timer(context, std::chrono::milliseconds(30));
    timer.async_wait([&](const asio::error_code&) { exchange->cancel(); });
    context.run();
    CHECK_FALSE(wasCalled);
}

// The kernel goes on delivering what was written to a connection that is closed, also seconds later, after a cut of the
// network: requests that were given up reached servers that had left meanwhile.
TEST(HttpExchange, WhatWasNotDeliveredOfARequestThatIsGivenUpNeverIs)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    asio::ip::tcp::socket server(context);
    acceptor.async_accept(server, [](const asio::error_code&) {});
    const auto exchange = std::make_shared<HttpExchange>(context,
        HttpExchange::Options{
            .address = { .host = "127.0.0.1", .port = acceptor.local_endpoint().port() }, .request = largeUpload() },
        [](const HttpExchangeEnd&) {});
    exchange->start(nullptr);
    context.run_for(std::chrono::milliseconds(100));
    CHECK(server.is_open());
    exchange->cancel();
    std::string bytes(100000, ' ');
    asio::error_code error;
    while (!error)
        server.read_some(asio::buffer(bytes), error);
    CHECK_TEXT(error == asio::error::connection_reset, error.message().c_str());
}

TEST(HttpExchange, ThePoolSkipsConnectionsThatReceivedBytes)
{
    const SteadyClock clock;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    for (const bool sends : { false, true }) {
        asio::ip::tcp::socket near(context);
        near.connect(acceptor.local_endpoint());
        asio::ip::tcp::socket far = acceptor.accept();
        near.non_blocking(true);
        HttpConnectionPool pool({}, clock);
        pool.add("s", std::make_shared<HttpConnection>(std::move(near)));
        LONGS_EQUAL(1, pool.size());
        if (sends) {
            asio::write(far, asio::buffer(std::string("late")));
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        CHECK((pool.take("s", {}) != nullptr) == !sends);
        CHECK_TEXT(!pool.take("s", {}), "a connection is taken only once");
    }
}

// A surplus copy of an earlier answer may still come there, and would be taken for the answer to the next try.
TEST(HttpExchange, ThePoolKeepsConnectionsFromRequestsThatTheyHaveCarried)
{
    const SteadyClock clock;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::vector<asio::ip::tcp::socket> far;
    HttpConnectionPool pool({}, clock);
    for (const char* id : { "r", "q" }) {
        asio::ip::tcp::socket near(context);
        near.connect(acceptor.local_endpoint());
        far.push_back(acceptor.accept());
        near.non_blocking(true);
        auto connection = std::make_shared<HttpConnection>(std::move(near));
        connection->noteCarried("");
        connection->noteCarried(id);
        pool.add("s", std::move(connection));
    }
    const auto other = pool.take("s", { .requestId = "q" });
    CHECK(other && other->hasCarried("r"));
    CHECK_TEXT(!pool.take("s", { .requestId = "q" }), "the other one has carried it");
    CHECK(pool.take("s", {}) != nullptr);
}

// The ids that a connection remembers would take more and more memory.
TEST(HttpExchange, ThePoolClosesConnectionsAfterManyExchanges)
{
    const SteadyClock clock;
    asio::io_context context;
    for (const unsigned exchanges : { 2U, 3U }) {
        HttpConnectionPool pool({ .maxExchanges = 3 }, clock);
        auto connection = std::make_shared<HttpConnection>(asio::ip::tcp::socket(context));
        connection->exchanges = exchanges;
        pool.add("s", std::move(connection));
        LONGS_EQUAL(exchanges < 3 ? 1 : 0, pool.size());
    }
}

// A request that must not run twice gets no connection that the server may be closing.
TEST(HttpExchange, ThePoolRespectsTheLongestIdleTime)
{
    const SteadyClock clock;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    asio::ip::tcp::socket near(context);
    near.connect(acceptor.local_endpoint());
    const asio::ip::tcp::socket far = acceptor.accept();
    near.non_blocking(true);
    HttpConnectionPool pool({}, clock);
    pool.add("s", std::make_shared<HttpConnection>(std::move(near)));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    CHECK(!pool.take("s", { .longestIdle = { 5 } }));
    CHECK(pool.take("s", {}) != nullptr);
}
