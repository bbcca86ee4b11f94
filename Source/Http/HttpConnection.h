#pragma once

#include "Base/Milliseconds.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>

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
    unsigned exchanges = 0;
};

/** Returns true if the server has neither closed an idle connection nor sent anything on it. */
bool isOpenAndSilent(HttpConnection& connection);

}
