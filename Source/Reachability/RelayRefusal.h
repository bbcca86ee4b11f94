#pragma once

namespace burlreach {

/** Why an instance does not relay a connection to a backend server. */
enum class RelayRefusal {
    Stopping, // this instance is about to end
    UnknownServer, // this instance does not know the server
    NoPath, // this instance has lost its own path to the server, or may have
    ServiceUnreached, // this instance reaches no server of the service
    ServerRefused, // the server refused the connection, while this instance reaches others
    ServerSilent // the server did not answer, while this instance reaches others
};

}
