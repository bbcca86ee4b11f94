#include "Tests/Relays/HalvedAnswerServer.h"

#include <algorithm>
#include <array>
#include <asio/post.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <utility>

namespace burlreach {

namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr const char* InstanceId = "i-halved";
constexpr std::size_t PieceBytes = 65536;
/** By how much an answer ends too early. */
constexpr std::size_t MissingBytes = 7;

constexpr std::array<std::string_view, 10> FramingNames{ "length", "chunks", "connection", "interim", "short-of-length",
    "short-of-last-chunk", "stopped-head", "endless-body", "endless-chunk-line", "endless-head" };

bool isEndless(AnswerFraming framing)
{
    return framing >= AnswerFraming::EndlessBody;
}

std::string_view fieldOf(std::string_view head, std::string_view name)
{
    const std::string start = "\r\n" + std::string(name) + ": ";
    const std::size_t place = head.find(start);
    if (place == std::string_view::npos)
        return {};
    const std::size_t value = place + start.size();
    return head.substr(value, head.find("\r\n", value) - value);
}

std::string chunkOf(const std::string& bytes)
{
    return boost::beast::buffers_to_string(boost::beast::http::make_chunk(boost::asio::buffer(bytes)));
}

/** A header that stops short of its end, at another place and with another framing for each number at the id's end. */
std::string stoppedHead(const std::string& start, std::string_view id)
{
    static const std::array<std::string, 3> framings{ "Content-Length: 9000\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n", "\r\n" };
    const std::size_t number = std::stoul(std::string(id.substr(id.rfind('-') + 1)));
    const std::string head = start + framings.at(number % framings.size());
    const std::size_t missing = 1 + number / framings.size() % (head.size() - 1);
    return head.substr(0, head.size() - missing);
}

/** What the server sends before and after the pause. */
struct Halves {
    std::string first;
    std::string second;
};

Halves halvesOf(AnswerFraming framing, const std::string& start, const std::string& body)
{
    const std::string first = body.substr(0, body.size() / 2);
    const std::string second = body.substr(first.size());
    const std::string length = start + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    const std::string chunks = start + "Transfer-Encoding: chunked\r\n\r\n";
    switch (framing) {
    case AnswerFraming::Length:
        return { length + first, second };
    case AnswerFraming::ShortOfLength:
        return { length + first, second.substr(0, second.size() - MissingBytes) };
    case AnswerFraming::Chunks:
        return { chunks + chunkOf(first), chunkOf(second) + "0\r\n\r\n" };
    case AnswerFraming::ShortOfLastChunk:
        return { chunks + chunkOf(first), chunkOf(second) };
    case AnswerFraming::Connection:
        return { start + "\r\n" + first, second };
    case AnswerFraming::Interim:
        return { "HTTP/1.1 103 Early Hints\r\n\r\n" + start + "\r\n" + first, second };
    case AnswerFraming::StoppedHead:
        break; // depends on the request
    case AnswerFraming::EndlessBody:
        return { start + "\r\n", std::string(PieceBytes, 'e') };
    case AnswerFraming::EndlessChunkLine:
        return { chunks, std::string(PieceBytes, '0') };
    case AnswerFraming::EndlessHead:
        return { start, "Filler: " + std::string(PieceBytes, 'e') + "\r\n" };
    }
    return {};
}

}

std::string_view nameOf(AnswerFraming framing)
{
    return FramingNames.at(static_cast<std::size_t>(framing));
}

bool isWhole(AnswerFraming framing)
{
    return framing < AnswerFraming::ShortOfLength;
}

struct HalvedAnswerServer::Session {
    explicit Session(asio::ip::tcp::socket given)
        : socket(std::move(given))
        , timer(this->socket.get_executor())
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    asio::streambuf input;
    std::array<char, 1> byte{}; // nothing is expected behind the request
    AnswerFraming framing = AnswerFraming::Length;
    std::chrono::duration<double, std::milli> pause{ 0 };
    Halves halves;
    bool isInTheMiddle = false;
};

HalvedAnswerServer::HalvedAnswerServer()
    : acceptor(this->context, { asio::ip::address_v4::loopback(), 0 })
{
    this->accept();
    this->thread = std::thread([this] { this->context.run(); });
}

HalvedAnswerServer::~HalvedAnswerServer()
{
    this->context.stop();
    this->thread.join();
}

NetworkAddress HalvedAnswerServer::address() const
{
    return { .host = "127.0.0.1", .port = this->acceptor.local_endpoint().port() };
}

std::string HalvedAnswerServer::entry(const std::string& service) const
{
    return R"({"address":")" + this->address().text() + R"(","info":{"service":")" + service
        + R"(","version":"v1","zone":"dc-1","slots":64},)"
        + R"("status":{"state":"ready","sequence":1,"cold_remaining":"0ms"}})";
}

std::string HalvedAnswerServer::bodyFor(const std::string& id)
{
    // The last bytes of the body could be those of a relay that marks the end.
    constexpr std::string_view digits = "0123456789abcdef0123456789abcdef";
    std::string body;
    while (body.size() < BodyBytes - digits.size())
        body += id + " ";
    body.resize(BodyBytes - digits.size());
    return body + std::string(digits);
}

std::size_t HalvedAnswerServer::runs(const std::string& id) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->runCounts.find(id);
    return found == this->runCounts.end() ? 0 : found->second;
}

void HalvedAnswerServer::reset()
{
    asio::post(this->context, [this] {
        for (const auto& item : this->sessions) {
            const auto session = item.lock();
            if (!session || !session->isInTheMiddle)
                continue;
            asio::error_code ignored;
            session->timer.cancel();
            session->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            session->socket.close(ignored);
        }
    });
}

void HalvedAnswerServer::accept()
{
    this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        asio::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        const auto session = std::make_shared<Session>(std::move(socket));
        std::erase_if(this->sessions, [](const auto& item) { return item.expired(); });
        this->sessions.push_back(session);
        this->read(session);
        this->accept();
    });
}

void HalvedAnswerServer::read(const std::shared_ptr<Session>& session)
{
    asio::async_read_until(
        session->socket, session->input, HeadEnd, [this, session](const asio::error_code& error, std::size_t size) {
            if (error)
                return;
            const std::string head(asio::buffers_begin(session->input.data()),
                asio::buffers_begin(session->input.data()) + static_cast<std::ptrdiff_t>(size));
            session->input.consume(size);
            this->answer(session, head);
        });
}

void HalvedAnswerServer::answer(const std::shared_ptr<Session>& session, std::string_view head)
{
    const std::string id(fieldOf(head, "Request-Id"));
    if (id.empty()) {
        session->halves.first = "HTTP/1.1 200 OK\r\nInstance-Id: " + std::string(InstanceId)
            + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        asio::async_write(session->socket, asio::buffer(session->halves.first),
            [this, session](const asio::error_code&, std::size_t) { this->end(session); });
        return;
    }
    {
        const std::lock_guard lock(this->mutex);
        ++this->runCounts[id];
    }
    // "GET /a/FRAMING/PAUSE HTTP/1.1"
    const std::string_view target = head.substr(0, head.find(" HTTP/"));
    const std::size_t last = target.rfind('/');
    const std::size_t first = target.rfind('/', last - 1);
    const auto* name = std::find(FramingNames.begin(), FramingNames.end(), target.substr(first + 1, last - first - 1));
    session->framing = static_cast<AnswerFraming>(name - FramingNames.begin());
    session->pause = decltype(session->pause)(std::stod(std::string(target.substr(last + 1))));
    const std::string start
        = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Signature: " + id + ".signed\r\nConnection: close\r\n";
    session->halves = halvesOf(session->framing, start, bodyFor(id));
    if (session->framing == AnswerFraming::StoppedHead)
        session->halves.first = stoppedHead(start, id);
    asio::async_write(session->socket, asio::buffer(session->halves.first),
        [this, session](const asio::error_code& error, std::size_t) {
            if (error)
                return;
            if (isEndless(session->framing))
                return this->sendEndlessly(session);
            session->isInTheMiddle = true;
            ++this->halves;
            this->sendSecondHalf(session);
        });
}

void HalvedAnswerServer::sendSecondHalf(const std::shared_ptr<Session>& session)
{
    session->timer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(session->pause));
    session->timer.async_wait([this, session](const asio::error_code& error) {
        session->isInTheMiddle = false;
        --this->halves;
        if (error)
            return;
        asio::async_write(session->socket, asio::buffer(session->halves.second),
            [this, session](const asio::error_code& failure, std::size_t) {
                this->wholes += failure ? 0 : 1;
                this->end(session);
            });
    });
}

void HalvedAnswerServer::sendEndlessly(const std::shared_ptr<Session>& session)
{
    asio::async_write(session->socket, asio::buffer(session->halves.second),
        [this, session](const asio::error_code& error, std::size_t) {
            if (!error)
                this->sendEndlessly(session);
        });
}

void HalvedAnswerServer::end(const std::shared_ptr<Session>& session)
{
    asio::error_code ignored;
    session->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    session->socket.async_read_some(
        asio::buffer(session->byte), [session](const asio::error_code&, std::size_t) { /* closes it */ });
}

}
