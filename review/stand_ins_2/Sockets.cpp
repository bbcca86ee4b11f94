#include "Sockets.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int Backlog = 128;
constexpr std::size_t ReadSize = 65536;
constexpr int Hexadecimal = 16;

sockaddr_in endpointOf(const Address& address)
{
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.host.c_str(), &endpoint.sin_addr);
    return endpoint;
}

sockaddr* asGeneric(sockaddr_in& endpoint)
{
    return reinterpret_cast<sockaddr*>(&endpoint);
}

int newSocket()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    return socket;
}

std::string trimmed(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos)
        return {};
    return std::string(text.substr(begin, text.find_last_not_of(" \t") - begin + 1));
}

std::optional<std::size_t> numberOf(std::string_view text, int base)
{
    std::size_t number = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number, base);
    return read.ec == std::errc() ? std::optional(number) : std::nullopt;
}

}

int listenAt(Address& address)
{
    const int socket = newSocket();
    sockaddr_in endpoint = endpointOf(address);
    socklen_t size = sizeof endpoint;
    const bool isListening = bind(socket, asGeneric(endpoint), size) == 0 && listen(socket, Backlog) == 0
        && getsockname(socket, asGeneric(endpoint), &size) == 0;
    if (!isListening) {
        close(socket);
        return -1;
    }
    address.port = ntohs(endpoint.sin_port);
    return socket;
}

int freePort(const std::string& host)
{
    Address address{ .host = host, .port = 0 };
    const int socket = listenAt(address);
    if (socket >= 0)
        close(socket);
    return address.port;
}

int connectTo(const Address& address)
{
    const int socket = newSocket();
    sockaddr_in endpoint = endpointOf(address);
    if (connect(socket, asGeneric(endpoint), sizeof endpoint) == 0)
        return socket;
    close(socket);
    return -1;
}

Address peerOf(int socket)
{
    sockaddr_in endpoint{};
    socklen_t size = sizeof endpoint;
    getpeername(socket, asGeneric(endpoint), &size);
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &endpoint.sin_addr, text.data(), text.size());
    return { .host = text.data(), .port = ntohs(endpoint.sin_port) };
}

bool sendAll(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

void shutDown(int socket)
{
    shutdown(socket, SHUT_RDWR);
}

std::string Message::field(const std::string& name) const
{
    const auto found = this->fields.find(name);
    return found == this->fields.end() ? std::string() : found->second;
}

std::string Message::word(std::size_t number) const
{
    std::istringstream words(this->firstLine);
    std::string found;
    for (std::size_t count = 0; count <= number; ++count) {
        found.clear();
        words >> found;
    }
    return found;
}

int Message::status() const
{
    constexpr int decimal = 10;
    return static_cast<int>(numberOf(this->word(1), decimal).value_or(0));
}

bool MessageReader::fill()
{
    std::array<char, ReadSize> chunk{};
    const ssize_t size = recv(this->socket, chunk.data(), chunk.size(), 0);
    if (size <= 0)
        return false;
    this->input.append(chunk.data(), static_cast<std::size_t>(size));
    return true;
}

std::optional<std::string> MessageReader::line()
{
    std::size_t end = this->input.find("\r\n");
    while (end == std::string::npos) {
        if (!this->fill())
            return std::nullopt;
        end = this->input.find("\r\n");
    }
    std::string text = this->input.substr(0, end);
    this->input.erase(0, end + 2);
    return text;
}

bool MessageReader::take(std::size_t size, std::string& bytes)
{
    while (this->input.size() < size) {
        if (!this->fill())
            return false;
    }
    bytes += this->input.substr(0, size);
    this->input.erase(0, size);
    return true;
}

bool MessageReader::takeChunks(std::string& bytes)
{
    while (true) {
        const auto header = this->line();
        const auto size = header ? numberOf(*header, Hexadecimal) : std::nullopt;
        if (!size || !this->take(*size, bytes) || !this->line())
            return false;
        if (!*size)
            return true;
    }
}

std::optional<Message> MessageReader::next()
{
    Message message;
    const auto first = this->line();
    if (!first)
        return std::nullopt;
    message.firstLine = *first;
    while (true) {
        const auto text = this->line();
        if (!text)
            return std::nullopt;
        if (text->empty())
            break;
        const std::size_t colon = std::min(text->find(':'), text->size() - 1);
        std::string name = text->substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
            [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        message.fields[name] = trimmed(std::string_view(*text).substr(colon + 1));
    }
    constexpr int decimal = 10;
    const bool isWhole = message.field("transfer-encoding") == "chunked"
        ? this->takeChunks(message.body)
        : this->take(numberOf(message.field("content-length"), decimal).value_or(0), message.body);
    return isWhole ? std::optional(std::move(message)) : std::nullopt;
}

}
