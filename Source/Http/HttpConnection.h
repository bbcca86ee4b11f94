#pragma once

#include "Base/Milliseconds.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>

namespace burlreach {

/** An open connection to a server, with the bytes that were read too much. */
struct HttpConnection {
    explicit HttpConnection(asio::ip::tcp::socket opened)
        : socket(std::move(opened))
    {
    }

    asio::ip::tcp::socket socket;
    Milliseconds lastUsed; // when its last exchange ended
    Milliseconds keptFor{ 4000 }; // the server may close it when it has been idle for so long
    unsigned exchanges = 0;
};

/** True when the server has neither closed an idle connection nor sent anything on it. */
bool isQuiet(HttpConnection& connection);

}
