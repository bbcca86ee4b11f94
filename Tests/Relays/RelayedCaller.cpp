#include "Tests/Relays/RelayedCaller.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <cstddef>
#include <string_view>
#include <sys/socket.h>
#include <sys/time.h>
#include <utility>

namespace burlreach {

namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view LengthField = "\r\nContent-Length: ";
constexpr std::string_view StatusStart = "HTTP/1.1 ";
/** More than the deadline of the requests. */
constexpr timeval Patience{ .tv_sec = 12, .tv_usec = 0 };

unsigned long numberAt(std::string_view text, std::size_t place)
{
    unsigned long number = 0;
    std::from_chars(text.data() + place, text.data() + text.size(), number);
    return number;
}

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
    while (!error && !this->isComplete(false)) {
        const auto size = recv(socket.native_handle(), chunk.data(), chunk.size(), 0);
        if (size <= 0) {
            this->hasEnded = size == 0;
            break;
        }
        this->bytes.append(chunk.data(), static_cast<std::size_t>(size));
    }
    // Bytes behind the answer would belong to no request.
    const auto more = recv(socket.native_handle(), chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (more > 0)
        this->bytes.append(chunk.data(), static_cast<std::size_t>(more));
    this->done = true;
}

bool RelayedCaller::isComplete(bool hasConnectionEnded) const
{
    const std::size_t headEnd = this->bytes.find(HeadEnd);
    if (headEnd == std::string::npos)
        return false;
    const std::string_view head(this->bytes.data(), headEnd);
    const std::size_t length = head.find(LengthField);
    if (length == std::string_view::npos)
        return hasConnectionEnded;
    return this->bytes.size() >= headEnd + HeadEnd.size() + numberAt(head, length + LengthField.size());
}

unsigned RelayedCaller::status() const
{
    const bool isAnswer = this->bytes.starts_with(StatusStart) && this->isComplete(this->hasEnded);
    return isAnswer ? static_cast<unsigned>(numberAt(this->bytes, StatusStart.size())) : 0;
}

std::string RelayedCaller::body() const
{
    return this->bytes.substr(this->bytes.find(HeadEnd) + HeadEnd.size());
}

}
