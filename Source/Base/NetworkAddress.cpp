#include "Base/NetworkAddress.h"

#include <arpa/inet.h>
#include <charconv>

namespace burlreach {

namespace {

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

bool isIpNumber(std::string_view text)
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
    if (!isWhole || !port || !isIpNumber(host))
        return std::nullopt;
    return NetworkAddress{ .host = std::string(host), .port = port };
}

}
