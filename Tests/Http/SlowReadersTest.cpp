// Guards callers that take a large answer slowly but steadily: the time of the write counted as idle time, and after
// idle_timeout their connections were closed, so that the answer was cut off and answers behind it were lost.

#include "Base/Clock.h"
#include "Http/HttpListener.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <string>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr std::size_t LargeBytes = 24000000;
constexpr Milliseconds IdleTimeout{ 300 };
/** Between two reads of a caller, by the clock of the test. */
constexpr Milliseconds Turn{ 8 };
constexpr int MostTurns = 2000;

/** Advances only when the test says so: what is tested does not depend on the machine's speed. */
class TurnClock final : public Clock {
public:
    Milliseconds now() const override { return this->time; }
    void advance() { this->time = this->time + Turn; }

private:
    Milliseconds time{ 1000 };
};

/** Answers every request at once, the first one with a large body. */
class LargeAnswerHandler final : public HttpSessionHandler {
public:
    void requestReceived(const std::shared_ptr<HttpSession>& session, ReceivedRequest request) override
    {
        HttpResponse response(boost::beast::http::status::ok, 11);
        setBody(response.body(), this->answered++ ? "end" : std::string(LargeBytes, 'a'));
        session->answer(request.number, std::move(response));
    }
    void requestUnreadable(const std::shared_ptr<HttpSession>&, HttpRequestNumber, HttpRequestProblem) override { }
    bool mayStartEarly(const HttpRequest&) const override { return true; }
    void callerGone(const std::shared_ptr<HttpSession>&) override { }

private:
    unsigned answered = 0;
};

struct Case {
    const char* name;
    unsigned requests; // sent behind each other; the answer to the first one is large
    bool reads; // takes what has come, a piece at a time
    bool isServed; // all answers come whole
};

constexpr std::array<Case, 4> Cases{ {
    { "reads steadily", 1, true, true },
    { "reads steadily, with a further request", 2, true, true },
    { "does not read", 1, false, false },
    { "does not read, with a further request", 2, false, false },
} };

}

TEST_GROUP(SlowReaders){};

TEST(SlowReaders, AreNotIdle)
{
    for (const Case& item : Cases) {
        asio::io_context context;
        TurnClock clock;
        LargeAnswerHandler handler;
        asio::ip::tcp::acceptor probe(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        const asio::ip::tcp::endpoint address = probe.local_endpoint();
        probe.close();
        HttpListener listener(context, handler, clock);
        CHECK(!listener.listen({ .host = "127.0.0.1", .port = address.port() }));
        listener.setLimits({ .idleTimeout = IdleTimeout });
        listener.beginAccepting();
        asio::ip::tcp::socket caller(context);
        caller.connect(address);
        std::string received;
        const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        for (unsigned number = 0; number < item.requests; ++number)
            asio::write(caller, asio::buffer(request));
        const char* const end = item.requests > 1 ? "\r\n\r\nend" : "aaaa";
        const auto isWhole = [&] { return received.size() > LargeBytes && received.ends_with(end); };
        caller.non_blocking(true);
        std::string piece(200000, ' ');
        // Reading takes several times the idle time.
        for (int turn = 0; turn < MostTurns && !isWhole(); ++turn) {
            asio::error_code ignored;
            if (item.reads)
                received.append(piece.data(), caller.read_some(asio::buffer(piece), ignored));
            clock.advance();
            context.restart();
            context.poll();
            listener.closeExpiredSessions();
        }
        CHECK_EQUAL_TEXT(item.isServed, isWhole(), item.name);
        listener.closeExpiredSessions();
        LONGS_EQUAL_TEXT(item.isServed ? 1 : 0, listener.sessions(), item.name);
        listener.stopAccepting();
        caller.close();
        context.restart();
        context.run_for(std::chrono::milliseconds(20));
    }
}
