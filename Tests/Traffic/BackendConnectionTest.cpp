#include "Traffic/BackendConnection.h"
#include "Base/SteadyClock.h"

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

/** Takes one connection after the other and plays a script: what to answer to each request; empty: close. */
class ScriptedServer {
public:
    explicit ScriptedServer(std::vector<std::string> givenAnswers)
        : answers(std::move(givenAnswers))
    {
        this->listener = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool listens = !bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof(address))
            && !listen(this->listener, 8);
        CHECK_TRUE(listens);
        socklen_t length = sizeof(address);
        getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &length);
        this->port = ntohs(address.sin_port);
        this->thread = std::thread([this] { this->run(); });
    }

    ~ScriptedServer()
    {
        shutdown(this->listener, SHUT_RDWR);
        this->thread.join();
        close(this->listener);
    }

    NetworkAddress address() const { return { .host = "127.0.0.1", .port = this->port }; }
    int requests() const { return this->seen; }
    void sendUnasked(const std::string& text) const { send(this->current, text.data(), text.size(), MSG_NOSIGNAL); }

private:
    void run()
    {
        while (true) {
            const int connection = accept(this->listener, nullptr, nullptr);
            if (connection < 0)
                return;
            this->current = connection;
            while (this->next < this->answers.size() && this->serve(connection)) { }
            close(connection);
        }
    }

    /** False when the connection is to be closed. */
    bool serve(int connection)
    {
        std::string request;
        char part[1024];
        while (request.find("\r\n\r\n") == std::string::npos) {
            const ssize_t got = recv(connection, part, sizeof(part), 0);
            if (got <= 0)
                return false;
            request.append(part, static_cast<std::size_t>(got));
        }
        ++this->seen;
        const std::string& answer = this->answers[this->next++];
        if (answer.empty())
            return false;
        send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
        return answer.find("Connection: close") == std::string::npos;
    }

    std::vector<std::string> answers;
    std::size_t next = 0;
    std::atomic<int> seen{ 0 };
    std::atomic<int> current{ -1 };
    int listener = -1;
    std::uint16_t port = 0;
    std::thread thread;
};

constexpr const char* Whole
    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nBurlreach-Request-Id: a\r\nBurlreach-Load: 7\r\n\r\nok";

BackendExchange exchange(BackendConnection& connection)
{
    const SteadyClock clock;
    CallerRequest request;
    request.method = "POST";
    request.target = "/bookings";
    request.body = "x";
    SendAttempt attempt;
    attempt.requestId = "a";
    attempt.timeLeft = { 5000 };
    return connection.send(request, attempt, clock, { .sendBy = clock.now() + Second, .silence = { 5000 } });
}

}

TEST_GROUP(BackendConnection){};

TEST(BackendConnection, SendsEachRequestOnceAndTellsHowItEnded)
{
    struct Case {
        const char* name;
        std::string answer;
        AttemptResult result;
    };
    const std::vector<Case> cases{
        { "whole", Whole, AttemptResult::Answered },
        { "closed without an answer", "", AttemptResult::Broken },
        { "cut in the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok",
            AttemptResult::Broken },
        { "no length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", AttemptResult::Broken },
        { "cut in the chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nok\r\n",
            AttemptResult::Broken },
        { "of another request", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nBurlreach-Request-Id: b\r\n\r\nok",
            AttemptResult::Broken },
        { "not run", "HTTP/1.1 503 No\r\nContent-Length: 0\r\nBurlreach-Not-Run: 1\r\n\r\n",
            AttemptResult::RefusedNotRun },
        { "failed", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", AttemptResult::ErrorAnswer },
    };
    for (const Case& item : cases) {
        ScriptedServer server({ item.answer, Whole, Whole });
        BackendConnection connection(server.address());
        const BackendExchange ended = exchange(connection);
        LONGS_EQUAL_TEXT(item.result, ended.end.result, item.name);
        LONGS_EQUAL_TEXT(1, server.requests(), item.name);
        CHECK_FALSE_TEXT(ended.isClean && ended.end.result == AttemptResult::Broken, item.name);
    }
}

TEST(BackendConnection, AReusedConnectionThatClosesUnderTheRequestIsNoProofOfAnything)
{
    ScriptedServer server({ Whole, "", Whole });
    BackendConnection connection(server.address());
    const BackendExchange first = exchange(connection);
    CHECK(first.isClean);
    LONGS_EQUAL(7, *first.end.reportedInFlight);
    LONGS_EQUAL(AttemptResult::Broken, exchange(connection).end.result);
    LONGS_EQUAL_TEXT(2, server.requests(), "the library did not send it again by itself");
}

TEST(BackendConnection, NobodyListeningProvesThatNothingWasSent)
{
    BackendConnection connection({ .host = "127.0.0.1", .port = 1 });
    LONGS_EQUAL(AttemptResult::NotSent, exchange(connection).end.result);
}

TEST(BackendConnection, BytesThatNobodyAskedForEndItsUse)
{
    ScriptedServer server({ Whole, Whole });
    BackendConnection connection(server.address());
    CHECK(exchange(connection).isClean);
    CHECK(connection.isQuiet());
    server.sendUnasked(Whole);
    constexpr int enoughTries = 5000;
    int tries = 0;
    while (connection.isQuiet() && ++tries < enoughTries)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    CHECK_FALSE(connection.isQuiet());
}

TEST(BackendConnection, ALateSendIsNotMade)
{
    ScriptedServer server({ Whole });
    BackendConnection connection(server.address());
    const SteadyClock clock;
    const BackendExchange ended
        = connection.send({}, {}, clock, { .sendBy = clock.now() - Second, .silence = { 100 } });
    LONGS_EQUAL(AttemptResult::NotSent, ended.end.result);
    LONGS_EQUAL(0, server.requests());
}
