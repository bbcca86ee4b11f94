#include "Tests/Platform/EndlessServer.h"

#include "Tests/Platform/ScriptedServer.h"

#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <istream>
#include <utility>

namespace burlreach {

namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view IdMark = "(id)";
/** Repeated bytes are sent in pieces of about this size. */
constexpr std::size_t PieceSize = 65536;

std::string withId(std::string text, std::string_view id)
{
    for (std::size_t at = text.find(IdMark); at != std::string::npos; at = text.find(IdMark))
        text.replace(at, IdMark.size(), id);
    return text;
}

}

struct EndlessServer::Session {
    explicit Session(asio::ip::tcp::socket given)
        : socket(std::move(given))
    {
    }

    asio::ip::tcp::socket socket;
    asio::streambuf input;
    std::string first;
    std::string piece;
};

EndlessServer::EndlessServer(Options givenOptions)
    : options(std::move(givenOptions))
    , acceptor(this->context, { asio::ip::address_v4::loopback(), 0 })
{
    this->accept();
    this->thread = std::thread([this] { this->context.run(); });
}

EndlessServer::~EndlessServer()
{
    this->context.stop();
    this->thread.join();
}

NetworkAddress EndlessServer::address() const
{
    return { .host = "127.0.0.1", .port = this->acceptor.local_endpoint().port() };
}

void EndlessServer::accept()
{
    this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        this->read(std::make_shared<Session>(std::move(socket)));
        this->accept();
    });
}

void EndlessServer::read(const std::shared_ptr<Session>& session)
{
    asio::async_read_until(
        session->socket, session->input, HeadEnd, [this, session](const asio::error_code& error, std::size_t) {
            if (!error)
                this->answer(session);
        });
}

void EndlessServer::answer(const std::shared_ptr<Session>& session)
{
    std::istream input(&session->input);
    const ScriptedRequest request{ .head = { std::istreambuf_iterator<char>(input), {} } };
    const bool isProbe = request.head.starts_with("GET /health ");
    const std::string id(request.field("Request-Id"));
    // Reports no load, so that the server is preferred.
    session->first = isProbe ? scriptedAnswer(request, 200, "Instance-Id: i-a\r\nInstance-Load: 0,0,3,100\r\n")
                             : withId(this->options.first, id);
    if (!isProbe) {
        ++this->requestCount;
        ++this->open;
        const std::string repeated = withId(this->options.repeated, id);
        session->piece.clear();
        while (session->piece.size() < PieceSize)
            session->piece += repeated;
    }
    asio::async_write(session->socket, asio::buffer(session->first),
        [this, session, isProbe](const asio::error_code& error, std::size_t size) {
            this->sentBytes += size;
            if (isProbe && !error)
                return this->read(session);
            if (!isProbe)
                this->repeat(session, error);
        });
}

void EndlessServer::repeat(const std::shared_ptr<Session>& session, const asio::error_code& failure)
{
    if (failure) {
        --this->open;
        return;
    }
    asio::async_write(session->socket, asio::buffer(session->piece),
        [this, session](const asio::error_code& error, std::size_t size) {
            this->sentBytes += size;
            this->repeat(session, error);
        });
}

}
