#include "Tests/Crowds/SinkServer.h"

#include <algorithm>
#include <array>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <string_view>
#include <utility>

namespace burlreach {

namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::size_t ReadSize = 65536;
constexpr std::size_t UploadBytes = 1000000;
constexpr const char* InstanceId = "i-sink";

/** The value of a header field, or an empty text. */
std::string fieldOf(const std::string& head, std::string_view name)
{
    const std::string start = "\r\n" + std::string(name) + ": ";
    const std::size_t place = head.find(start);
    if (place == std::string::npos)
        return {};
    const std::size_t value = place + start.size();
    return head.substr(value, head.find("\r\n", value) - value);
}

}

struct SinkServer::Session {
    explicit Session(asio::ip::tcp::socket given)
        : socket(std::move(given))
        , timer(this->socket.get_executor())
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    asio::streambuf input;
    std::array<char, ReadSize> chunk{};
    std::string id; // of the request; empty for a probe
    std::string head; // of the answer
};

SinkServer::SinkServer(Options givenOptions)
    : options(givenOptions)
    , body(givenOptions.answerBytes, 'a')
    , acceptor(this->context, { asio::ip::address_v4::loopback(), 0 })
{
    this->accept();
    this->thread = std::thread([this] { this->context.run(); });
}

SinkServer::~SinkServer()
{
    this->context.stop();
    this->thread.join();
}

NetworkAddress SinkServer::address() const
{
    return { .host = "127.0.0.1", .port = this->acceptor.local_endpoint().port() };
}

std::string SinkServer::entry(const std::string& service) const
{
    return R"({"address":")" + this->address().text() + R"(","info":{"service":")" + service
        + R"(","version":"v1","zone":"dc-1","slots":64},)"
        + R"("status":{"state":"ready","sequence":1,"cold_remaining":"0ms"}})";
}

std::size_t SinkServer::runs(const std::string& id) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->runCounts.find(id);
    return found == this->runCounts.end() ? 0 : found->second;
}

void SinkServer::accept()
{
    this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        this->readHead(std::make_shared<Session>(std::move(socket)));
        this->accept();
    });
}

void SinkServer::readHead(const std::shared_ptr<Session>& session)
{
    asio::async_read_until(
        session->socket, session->input, HeadEnd, [this, session](const asio::error_code& error, std::size_t size) {
            if (error)
                return;
            const std::string head(asio::buffers_begin(session->input.data()),
                asio::buffers_begin(session->input.data()) + static_cast<std::ptrdiff_t>(size));
            session->input.consume(size);
            session->id = fieldOf(head, "Request-Id");
            const std::string length = fieldOf(head, "Content-Length");
            const std::size_t bodyBytes = length.empty() ? 0 : std::stoul(length);
            const std::size_t read = std::min(bodyBytes, session->input.size());
            session->input.consume(read);
            if (this->options.answersUploadsEarly && bodyBytes > UploadBytes)
                return this->answerEarly(session);
            this->readBody(session, bodyBytes - read);
        });
}

void SinkServer::answerEarly(const std::shared_ptr<Session>& session)
{
    asio::error_code ignored;
    asio::write(session->socket,
        asio::buffer("HTTP/1.1 200 OK\r\nRequest-Id: " + session->id + "\r\nServer-Signature: " + session->id
            + ".signed\r\n\r\npart of the body"),
        ignored);
    constexpr std::chrono::milliseconds beforeReset{ 50 };
    session->timer.expires_after(beforeReset);
    session->timer.async_wait([session](const asio::error_code&) {
        asio::error_code error;
        session->socket.set_option(asio::socket_base::linger(true, 0), error);
        session->socket.close(error);
    });
}

void SinkServer::readBody(const std::shared_ptr<Session>& session, std::size_t left)
{
    if (!left)
        return this->work(session);
    session->socket.async_read_some(asio::buffer(session->chunk.data(), std::min(left, session->chunk.size())),
        [this, session, left](const asio::error_code& error, std::size_t size) {
            if (!error)
                this->readBody(session, left - size);
        });
}

void SinkServer::work(const std::shared_ptr<Session>& session)
{
    if (session->id.empty())
        return this->answer(session);
    {
        const std::lock_guard lock(this->mutex);
        ++this->runCounts[session->id];
    }
    session->timer.expires_after(this->options.workTime);
    session->timer.async_wait([this, session](const asio::error_code& error) {
        if (!error)
            this->answer(session);
    });
}

void SinkServer::answer(const std::shared_ptr<Session>& session)
{
    const bool isProbe = session->id.empty();
    session->head = "HTTP/1.1 200 OK\r\nInstance-Id: " + std::string(InstanceId) + "\r\n";
    if (!isProbe)
        session->head += "Request-Id: " + session->id + "\r\nServer-Signature: " + session->id + ".signed\r\n";
    const std::size_t bodyBytes = isProbe ? 0 : this->body.size();
    session->head += "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    const std::array<asio::const_buffer, 2> bytes{ asio::buffer(session->head),
        asio::buffer(this->body.data(), bodyBytes) };
    asio::async_write(session->socket, bytes, [this, session](const asio::error_code& error, std::size_t) {
        if (!error)
            this->readHead(session);
    });
}

}
