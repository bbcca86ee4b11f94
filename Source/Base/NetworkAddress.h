#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burlreach {

/** An IP number and a port. */
struct NetworkAddress {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const NetworkAddress&) const = default;

    /** "HOST:PORT", with brackets around an IPv6 number. */
    std::string text() const;
    /** The bytes of the IP number and of the port, most significant first; empty without an IP number. */
    std::string packed() const;
};

/** True for an IPv4 or IPv6 number; names are not resolved. */
bool isIpNumber(std::string_view text);

/** Reads "HOST:PORT"; nothing when it is not one with an IP number. */
std::optional<NetworkAddress> parseNetworkAddress(std::string_view text);

/** Reads what packed() gave; nothing when it is something else. */
std::optional<NetworkAddress> unpackNetworkAddress(std::string_view bytes);

}
