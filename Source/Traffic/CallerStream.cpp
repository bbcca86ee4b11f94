#include "Traffic/CallerStream.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace burlreach {

namespace {

/** Polls again after interruptions; true when one of the events is there. */
bool waitFor(socket_t socket, short events, Milliseconds wait)
{
    pollfd item{ .fd = socket, .events = events, .revents = 0 };
    int result = 0;
    do
        result = poll(&item, 1, static_cast<int>(wait.count));
    while (result < 0 && errno == EINTR);
    return result > 0 && (item.revents & (events | POLLHUP | POLLERR));
}

void describe(const sockaddr_storage& address, std::string& ip, int& port)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.ss_family == AF_INET) {
        const auto& v4 = reinterpret_cast<const sockaddr_in&>(address);
        inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        port = ntohs(v4.sin_port);
    } else if (address.ss_family == AF_INET6) {
        const auto& v6 = reinterpret_cast<const sockaddr_in6&>(address);
        inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
        port = ntohs(v6.sin6_port);
    }
    ip = text.data();
}

}

bool isClosedByPeer(socket_t socket)
{
    pollfd item{ .fd = socket, .events = POLLRDHUP, .revents = 0 };
    return poll(&item, 1, 0) > 0 && (item.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL));
}

CallerStream::CallerStream(socket_t socket, Options givenOptions)
    : fd(socket)
    , options(givenOptions)
{
}

bool CallerStream::waitForRequest(Milliseconds wait)
{
    return this->hasBuffered() || waitFor(this->fd, POLLIN, wait);
}

bool CallerStream::is_readable() const
{
    return this->hasBuffered() || waitFor(this->fd, POLLIN, this->options.readTimeout);
}

bool CallerStream::is_writable() const
{
    return waitFor(this->fd, POLLOUT, this->options.writeTimeout);
}

ssize_t CallerStream::read(char* target, size_t size)
{
    if (!this->hasBuffered()) {
        if (!this->is_readable())
            return -1;
        ssize_t got = 0;
        do
            got = recv(this->fd, this->buffer.data(), this->buffer.size(), 0);
        while (got < 0 && errno == EINTR);
        if (got <= 0)
            return got;
        this->position = 0;
        this->filled = static_cast<std::size_t>(got);
    }
    const std::size_t taken = std::min(size, this->filled - this->position);
    this->requestBytes += taken;
    if (this->requestBytes > this->options.mostRequestBytes)
        return -1;
    std::copy_n(this->buffer.begin() + static_cast<std::ptrdiff_t>(this->position), taken, target);
    this->position += taken;
    return static_cast<ssize_t>(taken);
}

ssize_t CallerStream::write(const char* data, size_t size)
{
    if (!this->is_writable())
        return -1;
    ssize_t written = 0;
    do
        written = send(this->fd, data, size, MSG_NOSIGNAL);
    while (written < 0 && errno == EINTR);
    return written;
}

void CallerStream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address{};
    socklen_t length = sizeof(address);
    if (!getpeername(this->fd, reinterpret_cast<sockaddr*>(&address), &length))
        describe(address, ip, port);
}

void CallerStream::get_local_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address{};
    socklen_t length = sizeof(address);
    if (!getsockname(this->fd, reinterpret_cast<sockaddr*>(&address), &length))
        describe(address, ip, port);
}

}
