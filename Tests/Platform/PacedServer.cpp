#include "Tests/Platform/PacedServer.h"

#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <utility>

namespace burlreach {

namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";

}

struct PacedServer::Session {
    explicit Session(asio::ip::tcp::socket given)
        : socket(std::move(given))
        , timer(this->socket.get_executor())
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    asio::streambuf input;
    PacedAnswer answer;
    std::size_t sent = 0; // pieces
    bool isAnswering = false;
};

PacedServer::PacedServer(asio::io_context& context, Script givenScript)
    : acceptor(context, { asio::ip::address_v4::loopback(), 0 })
    , script(std::move(givenScript))
{
    this->accept();
}

NetworkAddress PacedServer::address() const
{
    return { .host = "127.0.0.1", .port = this->acceptor.local_endpoint().port() };
}

void PacedServer::accept()
{
    this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        this->read(std::make_shared<Session>(std::move(socket)));
        this->accept();
    });
}

void PacedServer::read(const std::shared_ptr<Session>& session)
{
    session->isAnswering = false;
    asio::async_read_until(
        session->socket, session->input, HeadEnd, [this, session](const asio::error_code& error, std::size_t size) {
            if (error)
                return;
            const auto begin = asio::buffers_begin(session->input.data());
            const std::string head(begin, begin + static_cast<std::ptrdiff_t>(size));
            session->input.consume(size);
            this->answer(session, head);
        });
}

void PacedServer::answer(const std::shared_ptr<Session>& session, std::string_view head)
{
    session->sent = 0;
    if (head.starts_with("GET /health ")) {
        session->answer = { .pieces = { "HTTP/1.1 200 OK\r\nInstance-Id: i-a\r\nContent-Length: 0\r\n\r\n" } };
        return this->sendNext(session);
    }
    ++this->requestCount;
    session->answer = this->script(head);
    session->isAnswering = true;
    this->watch(session);
    this->sendNext(session);
}

void PacedServer::watch(const std::shared_ptr<Session>& session)
{
    session->socket.async_wait(asio::ip::tcp::socket::wait_read, [this, session](const asio::error_code& error) {
        char byte = 0;
        asio::error_code ended;
        if (error || !session->isAnswering)
            return;
        session->socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ended);
        this->cutOffCount += ended ? 1 : 0;
    });
}

void PacedServer::sendNext(const std::shared_ptr<Session>& session)
{
    if (session->sent == session->answer.pieces.size())
        return this->end(session);
    asio::async_write(session->socket, asio::buffer(session->answer.pieces.at(session->sent)),
        [this, session](const asio::error_code& error, std::size_t) {
            if (error)
                return;
            if (++session->sent == session->answer.pieces.size())
                return this->end(session);
            this->pause(session);
        });
}

void PacedServer::pause(const std::shared_ptr<Session>& session)
{
    session->timer.expires_after(Pause);
    session->timer.async_wait([this, session](const asio::error_code& error) {
        if (!error)
            this->sendNext(session);
    });
}

void PacedServer::end(const std::shared_ptr<Session>& session)
{
    asio::error_code ignored;
    switch (session->answer.end) {
    case PacedAnswer::End::Keep:
        session->isAnswering = false;
        session->socket.cancel(ignored);
        return this->read(session);
    case PacedAnswer::End::Reset:
        session->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        [[fallthrough]];
    case PacedAnswer::End::Close:
        session->isAnswering = false;
        session->socket.close(ignored);
        return;
    case PacedAnswer::End::Hang:
        return; // the wait for the other side's end keeps the session
    }
}

}
