#include "Tests/Stops/LateCaller.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <utility>

namespace burlreach {

namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view StatusStart = "HTTP/1.1 ";
/** More than the time-out of the requests. */
constexpr timeval Patience{ .tv_sec = 15, .tv_usec = 0 };
constexpr std::size_t Pieces = 20;

std::size_t numberBehind(std::string_view text, std::string_view what)
{
    std::size_t number = 0;
    const std::size_t place = text.find(what);
    if (place != std::string_view::npos)
        std::from_chars(text.data() + place + what.size(), text.data() + text.size(), number);
    return number;
}

/** Reads an answer with a length; empty if the connection ends before its end. */
std::string readAnswer(int handle)
{
    std::string text;
    std::array<char, 8192> chunk{};
    while (true) {
        const std::size_t headEnd = text.find(HeadEnd);
        if (headEnd != std::string::npos
            && text.size() >= headEnd + HeadEnd.size() + numberBehind(text.substr(0, headEnd), "\r\nContent-Length: "))
            return text;
        const auto size = recv(handle, chunk.data(), chunk.size(), 0);
        if (size <= 0)
            return {};
        text.append(chunk.data(), static_cast<std::size_t>(size));
    }
}

}

LateCaller::LateCaller(Options givenOptions)
    : options(std::move(givenOptions))
    , began(std::chrono::steady_clock::now())
    , thread([this] { this->run(); })
{
}

LateCaller::~LateCaller()
{
    this->finish();
}

const std::vector<LateRequest>& LateCaller::finish()
{
    this->stop();
    if (this->thread.joinable())
        this->thread.join();
    return this->requests;
}

std::chrono::milliseconds LateCaller::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - this->began);
}

void LateCaller::run()
{
    while (!this->isStopped && this->useConnection())
        std::this_thread::sleep_for(this->options.between);
}

bool LateCaller::useConnection()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(this->options.instance.port);
    inet_pton(AF_INET, this->options.instance.host.c_str(), &address.sin_addr);
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int isOn = 1;
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof isOn);
    setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &Patience, sizeof Patience);
    const bool isOpen = !::connect(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    while (isOpen && !this->isStopped && this->call(handle))
        std::this_thread::sleep_for(this->options.between);
    close(handle);
    return isOpen;
}

bool LateCaller::send(int handle, const std::string& text) const
{
    const std::size_t pieces = this->options.sending.count() ? Pieces : 1;
    const std::size_t pieceBytes = text.size() / pieces + 1;
    for (std::size_t at = 0; at < text.size(); at += pieceBytes) {
        if (at)
            std::this_thread::sleep_for(this->options.sending / Pieces);
        const std::string piece = text.substr(at, pieceBytes);
        if (::send(handle, piece.data(), piece.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(piece.size()))
            return false;
    }
    return true;
}

bool LateCaller::call(int handle)
{
    LateRequest request;
    request.id = this->options.name + "-" + std::to_string(this->requests.size());
    request.mayRepeat = this->requests.size() % 2 == 0;
    const std::string body(100, 'b');
    const bool isSent = this->send(handle,
        std::string(request.mayRepeat ? "POST /a/x" : "POST /once/x")
            + " HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 5000\r\nRequest-Id: " + request.id
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    // A request that was not sent whole does not count.
    if (!isSent)
        return false;
    request.sentAt = this->now();
    const std::string answer = readAnswer(handle);
    request.silence = this->now() - request.sentAt;
    const std::size_t headEnd = answer.find(HeadEnd);
    if (headEnd != std::string::npos) {
        request.status = static_cast<unsigned>(numberBehind(answer, StatusStart));
        request.bodyBytes = answer.size() - headEnd - HeadEnd.size();
    }
    this->requests.push_back(request);
    return !answer.empty() && answer.find("Connection: close") == std::string::npos;
}

}
