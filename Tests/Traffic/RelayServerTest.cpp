// A connection that one instance relays to a backend server for another one,
// over real loopback connections. Guards against a relayed answer being cut or
// completed wrongly, and against a failure before the request was sent being
// reported as one after it, or the reverse.

#include "Traffic/RelayServer.h"
#include "Base/ChronoDuration.h"
#include "Http/HttpExchange.h"
#include "Http/RelayStreamReader.h"
#include "Traffic/ConnectError.h"

#include <array>
#include <asio/write.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr const char* Loopback = "127.0.0.1";
constexpr std::uint16_t RelayPort = 39481;
constexpr std::uint16_t ClosedPort = 39482;
const NetworkAddress Relay{ .host = Loopback, .port = RelayPort };

/** What the backend server does with a request. */
enum class Behaviour {
    Answers,
    AnswersWithoutLength, // closes in order after the body
    EndsShortOfLength, // closes in order before the last bytes of a body with a length
    EndsShortOfLastChunk, // the same with chunks
    ResetsAfterHeader,
    ResetsEarly, // before it has read the request's body
    ClosesEarly, // the same, without asking for a reset
    NeverAnswers
};

/** A backend server for one connection. */
class OneConnectionServer {
public:
    OneConnectionServer(asio::io_context& context, Behaviour givenBehaviour)
        : acceptor(context, { asio::ip::make_address(Loopback), 0 })
        , socket(context)
        , behaviour(givenBehaviour)
    {
        this->acceptor.async_accept(this->socket, [this](const asio::error_code& error) {
            if (!error)
                this->read();
        });
    }

    NetworkAddress address() const { return { .host = Loopback, .port = this->acceptor.local_endpoint().port() }; }
    const std::string& received() const { return this->input; }
    bool isClosed() const { return this->closed; }

private:
    void read()
    {
        this->socket.async_read_some(
            asio::buffer(this->chunk), [this](const asio::error_code& error, std::size_t size) {
                this->closed = this->closed || error;
                if (error)
                    return;
                this->input.append(this->chunk.data(), size);
                const std::size_t headEnd = this->input.find("\r\n\r\n");
                if (headEnd == std::string::npos)
                    return this->read();
                if (!std::exchange(this->isAnswered, true))
                    this->answer();
                if (this->socket.is_open())
                    this->read();
            });
    }

    void answer()
    {
        asio::error_code ignored;
        const std::string start = "HTTP/1.1 200 OK\r\n";
        switch (this->behaviour) {
        case Behaviour::Answers:
            asio::write(this->socket, asio::buffer(start + "Content-Length: 3\r\n\r\nabc"), ignored);
            return;
        case Behaviour::AnswersWithoutLength:
            asio::write(this->socket, asio::buffer(start + "Connection: close\r\n\r\nabc"), ignored);
            this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            return;
        case Behaviour::EndsShortOfLength:
            asio::write(this->socket, asio::buffer(start + "Content-Length: 10\r\n\r\nabc"), ignored);
            this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            return;
        case Behaviour::EndsShortOfLastChunk:
            asio::write(this->socket, asio::buffer(start + "Transfer-Encoding: chunked\r\n\r\na\r\nabc"), ignored);
            this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            return;
        case Behaviour::ResetsAfterHeader:
            asio::write(this->socket, asio::buffer(start + "Connection: close\r\n\r\nab"), ignored);
            this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            this->socket.close(ignored);
            return;
        case Behaviour::ResetsEarly:
        case Behaviour::ClosesEarly:
            asio::write(this->socket, asio::buffer(start + "Connection: close\r\n\r\nab"), ignored);
            if (this->behaviour == Behaviour::ResetsEarly)
                this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            this->socket.close(ignored);
            return;
        case Behaviour::NeverAnswers:
            return;
        }
    }

    bool isAnswered = false;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::socket socket;
    Behaviour behaviour;
    std::array<char, 1024> chunk{};
    std::string input;
    bool closed = false;
};

/** Answers the questions of a RelayServer as a Node would. */
class AnsweringSink final : public EventSink {
public:
    void post(const Event& event) override
    {
        if (const auto* asked = std::get_if<RelayAsked>(&event))
            this->onAsked(*asked);
        if (const auto* failed = std::get_if<RelayConnectFailed>(&event))
            this->onFailed(*failed);
    }

    std::function<void(const RelayAsked&)> onAsked;
    std::function<void(const RelayConnectFailed&)> onFailed;
};

struct Case {
    const char* name;
    Behaviour behaviour;
    bool isServerThere;
    std::optional<RelayRefusal>
        refusal; // of the instance asked to relay; after a failed connection, if there is no server
    HttpExchangeResult result;
    ConnectOutcome connect;
    const char* body;
    std::size_t requestBytes = 0; // of the body of the request
};

/** More than the buffers of the connections hold. */
constexpr std::size_t LargeBodyBytes = 20000000;

const std::vector<Case> Cases{
    { "answer with a length", Behaviour::Answers, true, {}, HttpExchangeResult::Answered, ConnectOutcome::Connected,
        "abc" },
    { "answer without a length", Behaviour::AnswersWithoutLength, true, {}, HttpExchangeResult::Answered,
        ConnectOutcome::Connected, "abc" },
    // What the relay sends to tell that the server has ended was taken for the missing bytes.
    { "end short of the length", Behaviour::EndsShortOfLength, true, {}, HttpExchangeResult::Broken,
        ConnectOutcome::Connected, "" },
    { "end short of the last chunk", Behaviour::EndsShortOfLastChunk, true, {}, HttpExchangeResult::Broken,
        ConnectOutcome::Connected, "" },
    { "reset within the answer", Behaviour::ResetsAfterHeader, true, {}, HttpExchangeResult::Broken,
        ConnectOutcome::Connected, "" },
    { "reset within the request", Behaviour::ResetsEarly, true, {}, HttpExchangeResult::Broken,
        ConnectOutcome::Connected, "", LargeBodyBytes },
    { "closed within the request", Behaviour::ClosesEarly, true, {}, HttpExchangeResult::Broken,
        ConnectOutcome::Connected, "", LargeBodyBytes },
    { "answer with a length to a large request", Behaviour::Answers, true, {}, HttpExchangeResult::Answered,
        ConnectOutcome::Connected, "abc", LargeBodyBytes },
    { "server that refuses connections", Behaviour::Answers, false, RelayRefusal::ServerRefused,
        HttpExchangeResult::NotSent, ConnectOutcome::Refused, "" },
    { "server that does not answer", Behaviour::Answers, false, RelayRefusal::ServerSilent, HttpExchangeResult::NotSent,
        ConnectOutcome::NoAnswer, "" },
    { "failed connection of a relay that may have lost its path", Behaviour::Answers, false, RelayRefusal::NoPath,
        HttpExchangeResult::NotSent, ConnectOutcome::RelayNoPath, "" },
    { "relay without a path to the server", Behaviour::Answers, true, RelayRefusal::NoPath, HttpExchangeResult::NotSent,
        ConnectOutcome::RelayNoPath, "" },
    { "relay without a path to the service", Behaviour::Answers, true, RelayRefusal::ServiceUnreached,
        HttpExchangeResult::NotSent, ConnectOutcome::RelayServiceUnreached, "" },
    { "relay that is stopping", Behaviour::Answers, true, RelayRefusal::Stopping, HttpExchangeResult::NotSent,
        ConnectOutcome::RelayDeclined, "" },
    { "relay that does not know the server", Behaviour::Answers, true, RelayRefusal::UnknownServer,
        HttpExchangeResult::NotSent, ConnectOutcome::RelayDeclined, "" },
};

/** A relay, a backend server and one exchange through the relay. */
struct RelayedExchange {
    explicit RelayedExchange(const Case& item)
        : server(this->context, item.behaviour)
        , relay(this->context, {}, { .sink = &this->sink, .metrics = &this->metrics })
    {
        this->sink.onAsked = [this, item](const RelayAsked& asked) {
            AnswerRelay answer{ .relay = asked.relay, .backendServer = asked.backendServer };
            if (!item.isServerThere)
                answer.address = NetworkAddress{ .host = Loopback, .port = ClosedPort };
            else if (!item.refusal)
                answer.address = this->server.address();
            answer.refusal = item.refusal.value_or(answer.refusal);
            this->relay.execute(answer);
        };
        this->sink.onFailed = [this, item](const RelayConnectFailed& failed) {
            ++this->failedConnections;
            this->relay.execute(AnswerRelay{
                .relay = failed.relay, .backendServer = failed.backendServer, .refusal = item.refusal.value() });
        };
        CHECK(!this->relay.listen(Relay));
    }

    std::shared_ptr<HttpExchange> start(const NetworkAddress& relayAddress, std::size_t requestBytes = 0)
    {
        HttpExchange::Options options;
        options.relay = RelayTarget{ .relay = relayAddress, .backendServer = "s1" };
        options.request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n" + std::string(requestBytes, 'b');
        auto exchange = std::make_shared<HttpExchange>(
            this->context, std::move(options), [this](HttpExchangeEnd ended) { this->end = std::move(ended); });
        exchange->start(nullptr);
        return exchange;
    }

    void runFor(Milliseconds span) { this->context.run_for(toDuration(span)); }

    asio::io_context context;
    AnsweringSink sink;
    TrafficMetrics metrics;
    OneConnectionServer server;
    RelayServer relay;
    std::optional<HttpExchangeEnd> end;
    std::size_t failedConnections = 0; // that the relay reported
};

}

TEST_GROUP(RelayServer){};

TEST(RelayServer, PassesAnswersAndFailuresOn)
{
    for (const Case& item : Cases) {
        RelayedExchange exchange(item);
        exchange.start(Relay, item.requestBytes);
        exchange.runFor({ 150 });
        CHECK_TEXT(exchange.end.has_value(), item.name);
        CHECK_TEXT(exchange.end->result == item.result, item.name);
        CHECK_TEXT(connectOutcomeOf(*exchange.end) == item.connect, item.name);
        CHECK_TEXT(!exchange.end->connection, item.name);
        const std::string body = exchange.end->response ? textOf(exchange.end->response->body()) : "";
        STRCMP_EQUAL_TEXT(item.body, body.c_str(), item.name);
        LONGS_EQUAL_TEXT(0, exchange.metrics.openRelays, item.name);
        LONGS_EQUAL_TEXT(item.isServerThere ? 0 : 1, exchange.failedConnections, item.name);
    }
}

/** What an instance that was asked to relay a connection sends before it ends. */
struct RelayScript {
    const char* name;
    std::string reply; // to the request for a relay
    std::string bytes; // to the request that is relayed
    HttpExchangeResult result;
    AnswerProblem problem;
    std::string body;
    bool isHeadRequest = false;
};

const std::string InChunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string AsItIs = "HTTP/1.1 200 OK\r\n\r\n";

/** These bytes as a relay sends them in one chunk. */
std::string chunkOf(const std::string& bytes)
{
    return relayChunkHead(bytes.size()) + bytes + std::string(RelayChunkEnd);
}

std::vector<RelayScript> relayScripts()
{
    using Result = HttpExchangeResult;
    using Problem = AnswerProblem;
    const std::string unframed = "HTTP/1.1 200 OK\r\n\r\nhalf of the body";
    const std::string withLength = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf of the body";
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    const std::string last(RelayLastChunk);
    // Its last bytes are those by which a relay of the version before told that the server had ended.
    const std::string digits = unframed + "0123456789abcdef0123456789abcdef";
    return {
        { "no length, older relay", AsItIs, unframed, Result::Broken, Problem::ConnectionEnded, "" },
        { "no length", InChunks, chunkOf(unframed), Result::Broken, Problem::RelayEnded, "" },
        { "no length, within a chunk", InChunks, "20\r\n" + unframed, Result::Broken, Problem::RelayEnded, "" },
        { "no length, within the last chunk", InChunks, chunkOf(unframed) + "0\r\n", Result::Broken,
            Problem::RelayEnded, "" },
        { "no length, whole", InChunks, chunkOf(unframed) + last, Result::Answered, Problem::None, "half of the body" },
        { "no length, ends with digits", InChunks, chunkOf(digits) + last, Result::Answered, Problem::None,
            digits.substr(AsItIs.size()) },
        { "length", InChunks, chunkOf(withLength), Result::Broken, Problem::RelayEnded, "" },
        { "length, the server has ended", InChunks, chunkOf(withLength) + last, Result::Broken,
            Problem::ConnectionEnded, "" },
        { "interim answer", InChunks, chunkOf(interim) + chunkOf(unframed), Result::Broken, Problem::RelayEnded, "" },
        { "interim answer, whole", InChunks, chunkOf(interim) + chunkOf(unframed) + last, Result::Answered,
            Problem::None, "half of the body" },
        { "interim answer only", InChunks, chunkOf(interim), Result::Broken, Problem::RelayEnded, "" },
        { "interim answer only, the server has ended", InChunks, chunkOf(interim) + last, Result::Broken,
            Problem::ConnectionEnded, "" },
        { "HEAD", InChunks, chunkOf(withLength.substr(0, withLength.size() - 16)), Result::Answered, Problem::None, "",
            true },
        { "HEAD without a length", InChunks, chunkOf(AsItIs), Result::Answered, Problem::None, "", true },
        { "HEAD, half of the header", InChunks, chunkOf("HTTP/1.1 200 OK\r\nX: y"), Result::Broken, Problem::RelayEnded,
            "", true },
        { "bytes behind the last chunk", InChunks, chunkOf(unframed) + last + "more", Result::Broken, Problem::Invalid,
            "" },
        { "no chunks", InChunks, unframed, Result::Broken, Problem::Invalid, "" },
        { "a chunk's line without end", InChunks, std::string(200, '0'), Result::Broken, Problem::Invalid, "" },
        { "in order, in many chunks", InChunks, chunkOf(AsItIs) + chunkOf("a") + chunkOf("b") + last, Result::Answered,
            Problem::None, "ab" },
    };
}

/** An instance that relays one connection and ends as the kernel ends the connections of a process that is killed. */
class EndingRelay {
public:
    EndingRelay(asio::io_context& context, RelayScript givenScript)
        : acceptor(context, { asio::ip::make_address(Loopback), 0 })
        , socket(context)
        , script(std::move(givenScript))
    {
        this->acceptor.async_accept(this->socket, [this](const asio::error_code& error) {
            if (!error)
                this->read();
        });
    }

    NetworkAddress address() const { return { .host = Loopback, .port = this->acceptor.local_endpoint().port() }; }

private:
    void read()
    {
        this->socket.async_read_some(asio::buffer(this->chunk), [this](const asio::error_code& error, std::size_t) {
            if (error)
                return;
            asio::error_code ignored;
            const bool isAsked = !std::exchange(this->isForwarding, true);
            asio::write(this->socket, asio::buffer(isAsked ? this->script.reply : this->script.bytes), ignored);
            if (isAsked)
                return this->read();
            this->socket.close(ignored);
        });
    }

    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::socket socket;
    RelayScript script;
    std::array<char, 1024> chunk{};
    bool isForwarding = false;
};

// The end of a relayed connection may be that of the relay: half of an answer without a length passed as a whole one.
TEST(RelayServer, TheEndOfTheRelayDoesNotCompleteAnAnswer)
{
    for (const RelayScript& script : relayScripts()) {
        asio::io_context context;
        EndingRelay relay(context, script);
        std::optional<HttpExchangeEnd> end;
        HttpExchange::Options options;
        options.relay = RelayTarget{ .relay = relay.address(), .backendServer = "s1" };
        options.request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        options.isHeadRequest = script.isHeadRequest;
        const auto exchange = std::make_shared<HttpExchange>(
            context, std::move(options), [&end](HttpExchangeEnd ended) { end = std::move(ended); });
        exchange->start(nullptr);
        context.run_for(std::chrono::milliseconds(150));
        CHECK_TEXT(end.has_value(), script.name);
        CHECK_TEXT(end->result == script.result, script.name);
        STRCMP_EQUAL_TEXT(nameOf(script.problem).data(), nameOf(end->problem).data(), script.name);
        const std::string body = end->response ? textOf(end->response->body()) : "";
        STRCMP_EQUAL_TEXT(script.body.c_str(), body.c_str(), script.name);
    }
}

TEST(RelayServer, RelayThatDoesNotListenProvesThatNothingWasSent)
{
    RelayedExchange exchange(Cases.front());
    exchange.start({ .host = Loopback, .port = ClosedPort });
    exchange.runFor({ 100 });
    CHECK(exchange.end.has_value());
    CHECK(exchange.end->result == HttpExchangeResult::NotSent);
    CHECK(connectOutcomeOf(*exchange.end) == ConnectOutcome::RelayUnreached);
    CHECK(exchange.server.received().empty());
}

// Guards against a server that works on for a caller that has left, because the relay keeps its connection open.
TEST(RelayServer, CancelledRequestClosesTheConnectionToTheServer)
{
    RelayedExchange exchange(
        { "", Behaviour::NeverAnswers, true, {}, HttpExchangeResult::Broken, ConnectOutcome::Connected, "" });
    const auto running = exchange.start(Relay);
    exchange.runFor({ 100 });
    CHECK(!exchange.server.received().empty());
    CHECK(!exchange.server.isClosed());
    running->cancel();
    exchange.runFor({ 100 });
    CHECK(exchange.server.isClosed());
    LONGS_EQUAL(0, exchange.metrics.openRelays);
}
