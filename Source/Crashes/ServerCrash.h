#pragma once

#include "Base/Milliseconds.h"
#include "Base/NetworkAddress.h"

#include <cstdint>
#include <string_view>

namespace burlreach {

/** The process of a backend server ended while a request was in flight there. */
struct ServerCrash {
    std::uint64_t server = 0; // see serverHash()
    /** Number of the crash among those of this server under this request: one record may cover several processes. */
    std::uint32_t ordinal = 1;
    NetworkAddress address;
    std::uint64_t caller = 0; // that sent the request; see callerHash()
    Milliseconds at;

    /** True when both describe the same crash, whichever instance saw it, and whichever caller's request was there. */
    bool isSame(const ServerCrash& other) const
    {
        return this->server == other.server && this->ordinal == other.ordinal;
    }
};

/** A short identifier of a life of a backend server, the same on every instance. */
std::uint64_t serverHash(std::string_view id, std::uint64_t life);

}
