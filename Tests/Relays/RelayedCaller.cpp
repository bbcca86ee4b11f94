#include "Tests/Relays/RelayedCaller.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <string_view>
#include <sys/socket.h>
#include <sys/time.h>
#include <utility>

namespace burlreach {

namespace {

/** More than the deadline of the requests. */
constexpr timeval Patience{ .tv_sec = 12, .tv_usec = 0 };

}

RelayedCaller::RelayedCaller(Options givenOptions)
    : options(std::move(givenOptions))
    , thread([this] { this->run(); })
{
}

RelayedCaller::~RelayedCaller()
{
    this->thread.join();
}

void RelayedCaller::run()
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    asio::error_code error;
    socket.connect({ asio::ip::make_address(this->options.instance.host), this->options.instance.port }, error);
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &Patience, sizeof Patience);
    const std::string target = std::string(this->options.mayRepeat ? "GET /a/" : "POST /once/")
        + std::string(nameOf(this->options.framing)) + "/" + std::to_string(this->options.pause.count());
    asio::write(socket,
        asio::buffer(target + " HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 6000\r\nRequest-Id: " + this->options.id
            + "\r\nContent-Length: 0\r\n\r\n"),
        error);
    std::array<char, 8192> chunk{};
    const auto start = std::chrono::steady_clock::now();
    while (!error && !this->completeAnswer()) {
        const auto size = recv(socket.native_handle(), chunk.data(), chunk.size(), 0);
        if (size <= 0) {
            this->hasEnded = size == 0;
            break;
        }
        if (this->bytes.empty())
            this->firstByte = std::chrono::steady_clock::now() - start;
        this->bytes.append(chunk.data(), static_cast<std::size_t>(size));
    }
    // Bytes behind the answer would belong to no request.
    const auto more = recv(socket.native_handle(), chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (more > 0)
        this->bytes.append(chunk.data(), static_cast<std::size_t>(more));
    this->done = true;
}

std::optional<RelayedCaller::Answer> RelayedCaller::completeAnswer() const
{
    boost::beast::http::response_parser<boost::beast::http::string_body> parser;
    parser.eager(true);
    boost::beast::error_code error;
    std::string_view left = this->bytes;
    while (!left.empty() && !error && !parser.is_done())
        left.remove_prefix(parser.put(boost::asio::buffer(left.data(), left.size()), error));
    if (!error && this->hasEnded && !parser.is_done())
        parser.put_eof(error);
    // Bytes behind the answer would belong to no request.
    if (error || !parser.is_done() || !left.empty())
        return std::nullopt;
    return Answer{ .status = parser.get().result_int(), .body = parser.get().body() };
}

unsigned RelayedCaller::status() const
{
    const auto answer = this->completeAnswer();
    return answer ? answer->status : 0;
}

std::string RelayedCaller::body() const
{
    const auto answer = this->completeAnswer();
    return answer ? answer->body : std::string();
}

}
