#pragma once

#include "Base/NetworkAddress.h"
#include "Http/HttpConnection.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace burlreach {

/** The instance that relays a connection, and the id of the backend server that it connects to. */
struct RelayTarget {
    NetworkAddress relay;
    std::string backendServer;
};

/** What an instance that was asked to relay a connection answered. */
enum class RelayReply {
    Connected, // bytes are forwarded to the server from now on
    ServerRefused, // the server refused the connection
    ServerSilent, // the server did not answer
    NoPath, // the instance has lost its own path to the server, or may have
    ServiceUnreached, // the instance reaches no server of the service
    Declined, // the instance is stopping, is full, or does not know the server
    Unreached // the instance did not answer
};

/** The answer of an instance that was asked to relay a connection. */
struct RelayAnswer {
    RelayReply reply = RelayReply::Unreached;
    bool isInChunks = false; // the server's bytes come as RelayStreamReader reads them; otherwise as they are
};

/** The HTTP status with which an instance gives this reply. */
unsigned statusOf(RelayReply reply);

/** Header field with the id of the backend server to which a relay is asked to connect. */
inline constexpr std::string_view RelayServerField = "Backend-Server";
/** Header field by which a relay is asked to send the server's bytes in chunks; an older instance ignores it. */
inline constexpr std::string_view RelayChunksField = "Server-Bytes";
inline constexpr std::string_view RelayChunksValue = "chunked";

using RelayAnswered = std::function<void(const RelayAnswer& answer)>;

/**
 * Asks for a relay with an HTTP CONNECT request on a new connection to another instance. Once it has answered
 * Connected, the connection leads to the backend server. Closing the connection abandons the request.
 */
void requestRelay(
    const std::shared_ptr<HttpConnection>& connection, std::string_view backendServer, RelayAnswered answered);

}
