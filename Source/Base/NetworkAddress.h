#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burlreach {

/** An IP address and a port. */
struct NetworkAddress {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const NetworkAddress&) const = default;

    /** "HOST:PORT", with brackets around an IPv6 address. */
    std::string text() const;
    /** The bytes of the IP address and of the port in network byte order; empty if the host is not an IP address. */
    std::string packed() const;
};

/** True for an IPv4 or IPv6 address; names are not resolved. */
bool isIpAddress(std::string_view text);

/** Parses "HOST:PORT"; nullopt for any other text, or if the host is not an IP address. */
std::optional<NetworkAddress> parseNetworkAddress(std::string_view text);

/** Parses the format of NetworkAddress::packed(); nullopt for any other bytes. */
std::optional<NetworkAddress> unpackNetworkAddress(std::string_view bytes);

}
