#pragma once

#include <string_view>

namespace burlreach {

/** How an attempt, probe or check got its connection to a backend server, or why it got none. */
enum class ConnectOutcome {
    Reused, // a kept connection was used
    Connected, // a new connection was established
    Refused, // nothing accepts connections at the address, or something on the path rejects them
    NoAnswer, // the backend server or the network may be down
    RelayUnreached, // the instance asked to relay could not be reached or did not answer in time
    RelayDeclined, // the instance asked to relay is stopping, is full, or does not know the server
    RelayNoPath, // the instance asked to relay has lost its own path to the server, or may have
    RelayServiceUnreached, // the instance asked to relay reaches no server of the service
    Abandoned // this instance gave up or could not open a connection; nothing is known about the server
};

/** True when the failure is that of the instance asked to relay, so that nothing is known about the server. */
constexpr bool isRelayFailure(ConnectOutcome outcome)
{
    return outcome == ConnectOutcome::RelayUnreached || outcome == ConnectOutcome::RelayDeclined
        || outcome == ConnectOutcome::RelayNoPath || outcome == ConnectOutcome::RelayServiceUnreached;
}

/** The name used in log lines, such as "no_answer". */
std::string_view nameOf(ConnectOutcome outcome);

}
