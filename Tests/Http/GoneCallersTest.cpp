#include "Base/SteadyClock.h"
#include "Http/HttpListener.h"

#include <asio/io_context.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

/** How a caller ends its connection before the listener reads what it sent. */
enum class Departure {
    None, // it stays and waits for the answer
    Closed,
    Reset,
    SendingEnded // it ends only its sending side, which is taken for a close
};

/** A caller's connection, and how many of its requests may begin. */
struct Case {
    const char* name;
    Departure departure;
    std::size_t requests;
    std::size_t bodyBytes;
    bool isKept; // an earlier request on the connection was answered
    std::size_t mostBegun;
    std::size_t fewestBegun;
};

constexpr std::size_t LongBody = 20000; // more than is read at once

const std::vector<Case> Cases{
    { "a new connection, closed", Departure::Closed, 1, 0, false, 0, 0 },
    { "a new connection, reset", Departure::Reset, 1, 0, false, 0, 0 },
    { "a new connection whose caller ended its sending side", Departure::SendingEnded, 1, 0, false, 0, 0 },
    { "a new connection, closed after two requests", Departure::Closed, 2, 0, false, 0, 0 },
    { "a new connection, closed after a long body", Departure::Closed, 1, LongBody, false, 0, 0 },
    { "a new connection, closed after a long request and further ones", Departure::Closed, 3, LongBody, false, 0, 0 },
    { "a kept connection, closed", Departure::Closed, 1, 0, true, 0, 0 },
    { "a kept connection, reset", Departure::Reset, 1, 0, true, 0, 0 },
    { "a new connection whose caller waits", Departure::None, 1, 0, false, 1, 1 },
    { "a caller that waits for two answers", Departure::None, 2, 0, false, 1, 1 },
    { "a caller that waits after a long body", Departure::None, 1, LongBody, false, 1, 1 },
    { "a kept connection whose caller waits", Departure::None, 1, 0, true, 1, 1 },
};

std::string requestsOf(const Case& item)
{
    std::string bytes;
    for (std::size_t request = 0; request < item.requests; ++request) {
        bytes += "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(item.bodyBytes) + "\r\n\r\n"
            + std::string(item.bodyBytes, 'x');
    }
    return bytes;
}

/** Counts the requests that begin; answers them only if it should. */
class CountingHandler final : public HttpSessionHandler {
public:
    void requestReceived(const std::shared_ptr<HttpSession>& session, ReceivedRequest request) override
    {
        ++this->begun;
        if (this->answers)
            session->answer(request.number, HttpResponse(boost::beast::http::status::ok, 11));
    }
    void requestUnreadable(const std::shared_ptr<HttpSession>&, HttpRequestNumber, HttpRequestProblem) override { }
    void callerGone(const std::shared_ptr<HttpSession>&) override { }

    std::size_t begun = 0;
    bool answers = false;
};

}

TEST_GROUP(GoneCallers)
{
    asio::io_context context;
    SteadyClock clock;
    CountingHandler handler;
    std::unique_ptr<HttpListener> listener;
    asio::ip::tcp::endpoint address;

    void setup() override
    {
        asio::ip::tcp::acceptor probe(this->context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        this->address = probe.local_endpoint();
        probe.close();
        this->listener = std::make_unique<HttpListener>(this->context, this->handler, this->clock);
        CHECK(!this->listener->listen({ .host = "127.0.0.1", .port = this->address.port() }));
        this->listener->beginAccepting();
    }

    void teardown() override
    {
        this->listener->stopAccepting();
        // Runs the handlers of what ended, which refer to the listener.
        this->runBriefly();
        this->listener.reset();
    }

    void runBriefly()
    {
        this->context.restart();
        this->context.run_for(std::chrono::milliseconds(20));
    }

    /** A connection on which a first request was answered, if the case asks for one. */
    asio::ip::tcp::socket connect(const Case& item)
    {
        asio::ip::tcp::socket caller(this->context);
        caller.connect(this->address);
        this->handler.answers = true;
        if (item.isKept) {
            asio::write(caller, asio::buffer(std::string("GET /first HTTP/1.1\r\nHost: x\r\n\r\n")));
            this->runBriefly();
        }
        this->handler.answers = false;
        this->handler.begun = 0;
        return caller;
    }

    static void depart(asio::ip::tcp::socket & caller, Departure departure)
    {
        switch (departure) {
        case Departure::None:
            return;
        case Departure::Reset:
            caller.set_option(asio::socket_base::linger(true, 0));
            return caller.close();
        case Departure::Closed:
            return caller.close();
        case Departure::SendingEnded:
            return caller.shutdown(asio::ip::tcp::socket::shutdown_send);
        }
    }
};

// Guards against work for callers that left before their request was read: an instance that was suspended for a second,
// or that accepts late after a start, sent the requests of closed connections to backend servers.
TEST(GoneCallers, NoRequestOfAClosedConnectionBegins)
{
    for (const Case& item : Cases) {
        asio::ip::tcp::socket caller = this->connect(item);
        const std::string bytes = requestsOf(item);
        // The receiver's window holds all of it, so that the write ends before the listener runs.
        asio::write(caller, asio::buffer(bytes));
        depart(caller, item.departure);
        this->runBriefly();
        CHECK_TEXT(this->handler.begun <= item.mostBegun, item.name);
        CHECK_TEXT(this->handler.begun >= item.fewestBegun, item.name);
    }
}
