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

/** What an instance is asked for when it is to relay a connection. */
struct RelayRequest {
    std::string_view backendServer; // id of the server to connect to
    std::string_view endMark; // sent behind the server's bytes when the server has ended in order; empty: none
};

/** The HTTP status with which an instance gives this reply. */
unsigned statusOf(RelayReply reply);

/** Header field with the id of the backend server to which a relay is asked to connect. */
inline constexpr std::string_view RelayServerField = "Backend-Server";
/** Header field with the bytes by which the relay tells that the server has ended the connection in order. */
inline constexpr std::string_view RelayEndMarkField = "End-Mark";

/** Makes an end mark, 32 random hexadecimal digits: no server can send it, since none is told. */
std::string newRelayEndMark();

using RelayAnswered = std::function<void(RelayReply reply)>;

/**
 * Asks for a relay with an HTTP CONNECT request on a new connection to another instance. Once it has answered
 * Connected, the connection leads to the backend server. Closing the connection abandons the request.
 */
void requestRelay(
    const std::shared_ptr<HttpConnection>& connection, const RelayRequest& request, RelayAnswered answered);

}
