#pragma once

#include <string_view>

namespace burlreach {

/** How an attempt, probe or check got its connection to a backend server, or why it got none. */
enum class ConnectOutcome {
    Reused, // a kept connection was used
    Connected, // a new connection was established
    Refused, // nothing accepts connections at the address, or something on the path rejects them
    NoAnswer, // the backend server or the network may be down
    RelayUnavailable, // the instance asked to relay could not be reached, or cannot reach the server itself
    Abandoned // this instance gave up or could not open a connection; nothing is known about the server
};

/** The name used in log lines, such as "no_answer". */
std::string_view nameOf(ConnectOutcome outcome);

}
