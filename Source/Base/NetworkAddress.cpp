#include "Base/NetworkAddress.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace burlreach {

namespace {

constexpr std::size_t PortBytes = 2;
constexpr unsigned ByteBits = 8;

bool parses(int family, std::string_view text)
{
    in6_addr parsed{};
    return inet_pton(family, std::string(text).c_str(), &parsed) == 1;
}

}

std::string NetworkAddress::text() const
{
    const bool isIpv6 = this->host.find(':') != std::string::npos;
    std::string shown;
    if (isIpv6)
        shown += '[';
    shown += this->host;
    if (isIpv6)
        shown += ']';
    shown += ':';
    shown += std::to_string(this->port);
    return shown;
}

std::string NetworkAddress::packed() const
{
    std::array<char, sizeof(in6_addr)> number{};
    std::string bytes;
    if (inet_pton(AF_INET, this->host.c_str(), number.data()) == 1)
        bytes.assign(number.data(), sizeof(in_addr));
    else if (inet_pton(AF_INET6, this->host.c_str(), number.data()) == 1)
        bytes.assign(number.data(), sizeof(in6_addr));
    else
        return bytes;
    bytes += static_cast<char>(this->port >> ByteBits);
    bytes += static_cast<char>(this->port);
    return bytes;
}

std::optional<NetworkAddress> unpackNetworkAddress(std::string_view bytes)
{
    const bool isIpv4 = bytes.size() == sizeof(in_addr) + PortBytes;
    if (!isIpv4 && bytes.size() != sizeof(in6_addr) + PortBytes)
        return std::nullopt;
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (!inet_ntop(isIpv4 ? AF_INET : AF_INET6, bytes.data(), text.data(), text.size()))
        return std::nullopt;
    const auto high = static_cast<unsigned char>(bytes[bytes.size() - PortBytes]);
    const auto low = static_cast<unsigned char>(bytes.back());
    const auto port = static_cast<std::uint16_t>((high << ByteBits) | low);
    if (!port)
        return std::nullopt;
    return NetworkAddress{ .host = text.data(), .port = port };
}

bool isIpAddress(std::string_view text)
{
    return parses(AF_INET, text) || parses(AF_INET6, text);
}

std::optional<NetworkAddress> parseNetworkAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    const std::string_view portText = text.substr(colon + 1);
    if (host.size() > 1 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    const bool isWhole = parsed.ec == std::errc() && parsed.ptr == portText.data() + portText.size();
    if (!isWhole || !port || !isIpAddress(host))
        return std::nullopt;
    return NetworkAddress{ .host = std::string(host), .port = port };
}

}
