#pragma once

#include "Base/NetworkAddress.h"
#include "Http/HttpConnection.h"
#include "Http/RelayRequest.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace burlreach {

/** Called with the connection, or with an error: asio::error::timed_out if it was not made in time. */
using ConnectionOpened = std::function<void(const asio::error_code&, std::shared_ptr<HttpConnection>)>;

/** Opens a connection to a server without sending a request. */
void openConnection(
    asio::io_context& context, const NetworkAddress& address, Milliseconds timeout, ConnectionOpened opened);

/** Finds out whether a backend server accepts connections through another instance; closes the connection again. */
void openRelayedConnection(
    asio::io_context& context, const RelayTarget& target, Milliseconds timeout, RelayAnswered answered);

}
