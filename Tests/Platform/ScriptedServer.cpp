#include "Tests/Platform/ScriptedServer.h"

#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <istream>
#include <utility>

namespace burlreach {

namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view CloseMark = "(close)";

}

struct ScriptedServer::Session {
    explicit Session(asio::ip::tcp::socket given)
        : socket(std::move(given))
    {
    }

    asio::ip::tcp::socket socket;
    std::size_t number = 0;
    asio::streambuf input;
    std::string output;
    bool isOver = false;
};

std::string_view ScriptedRequest::field(std::string_view name) const
{
    const std::string start = "\r\n" + std::string(name) + ": ";
    const std::size_t at = this->head.find(start);
    if (at == std::string::npos)
        return {};
    const std::size_t value = at + start.size();
    return std::string_view(this->head).substr(value, this->head.find("\r\n", value) - value);
}

std::string scriptedAnswer(const ScriptedRequest& request, unsigned status, std::string_view fields)
{
    std::string answer = "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: 2\r\nServer-Signature: s\r\n";
    answer += "Request-Id: " + std::string(request.field("Request-Id")) + "\r\n";
    return answer + std::string(fields) + "\r\nok";
}

ScriptedServer::ScriptedServer(asio::io_context& context, Script givenScript)
    : acceptor(context, { asio::ip::address_v4::loopback(), 0 })
    , script(std::move(givenScript))
{
    this->accept();
}

NetworkAddress ScriptedServer::address() const
{
    return { .host = "127.0.0.1", .port = this->acceptor.local_endpoint().port() };
}

void ScriptedServer::accept()
{
    this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        const auto session = std::make_shared<Session>(std::move(socket));
        session->number = ++this->connectionCount;
        this->read(session);
        this->accept();
    });
}

void ScriptedServer::read(const std::shared_ptr<Session>& session)
{
    asio::async_read_until(
        session->socket, session->input, HeadEnd, [this, session](const asio::error_code& error, std::size_t) {
            if (!error)
                this->answer(session);
        });
}

void ScriptedServer::answer(const std::shared_ptr<Session>& session)
{
    std::istream input(&session->input);
    ScriptedRequest request{ .head = { std::istreambuf_iterator<char>(input), {} } };
    request.isProbe = request.head.starts_with("GET /health ");
    request.connection = session->number;
    ++(request.isProbe ? this->probeCount : this->requestCount);
    session->output = this->script(request);
    if (session->output.ends_with(CloseMark)) {
        session->isOver = true;
        session->output.resize(session->output.size() - CloseMark.size());
    }
    asio::async_write(
        session->socket, asio::buffer(session->output), [this, session](const asio::error_code& error, std::size_t) {
            if (!error && !session->isOver)
                this->read(session);
        });
}

}
