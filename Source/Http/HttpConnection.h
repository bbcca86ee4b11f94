#pragma once

#include "Base/Milliseconds.h"

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <string_view>
#include <vector>

namespace burlreach {

/** An open connection to a server. */
struct HttpConnection {
    explicit HttpConnection(asio::ip::tcp::socket opened)
        : socket(std::move(opened))
    {
    }

    asio::ip::tcp::socket socket;
    Milliseconds lastUsed; // time at which the last exchange ended
    Milliseconds keepAliveTimeout{ 4000 }; // idle time after which the server may close the connection
    std::vector<std::uint64_t> carriedIds; // hashes of the ids of all requests sent on it
    unsigned exchanges = 0;

    /** Records the id of a request that was sent; an empty id is not recorded. */
    void noteCarried(std::string_view requestId);
    bool hasCarried(std::string_view requestId) const;
};

/** Returns true if the server has neither closed an idle connection nor sent anything on it. */
bool isOpenAndSilent(HttpConnection& connection);

}
