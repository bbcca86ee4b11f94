#include "Traffic/ConnectError.h"

#include <asio/error.hpp>

namespace burlreach {

ConnectOutcome connectOutcomeOf(const std::error_code& error)
{
    if (!error)
        return ConnectOutcome::Connected;
    if (error == asio::error::connection_refused || error == asio::error::connection_reset)
        return ConnectOutcome::Refused;
    const bool isSilent = error == asio::error::timed_out || error == asio::error::host_unreachable
        || error == asio::error::network_unreachable;
    return isSilent ? ConnectOutcome::NoAnswer : ConnectOutcome::Abandoned;
}

ConnectOutcome connectOutcomeOf(RelayReply reply)
{
    switch (reply) {
    case RelayReply::Connected:
        return ConnectOutcome::Connected;
    case RelayReply::ServerRefused:
        return ConnectOutcome::Refused;
    case RelayReply::ServerSilent:
        return ConnectOutcome::NoAnswer;
    case RelayReply::NoPath:
        return ConnectOutcome::RelayNoPath;
    case RelayReply::ServiceUnreached:
        return ConnectOutcome::RelayServiceUnreached;
    case RelayReply::Declined:
        return ConnectOutcome::RelayDeclined;
    case RelayReply::Unreached:
        break;
    }
    return ConnectOutcome::RelayUnreached;
}

ConnectOutcome connectOutcomeOf(const HttpExchangeEnd& end)
{
    if (end.isReused)
        return ConnectOutcome::Reused;
    if (end.connectError == asio::error::operation_aborted)
        return ConnectOutcome::Abandoned;
    return end.relayReply ? connectOutcomeOf(*end.relayReply) : connectOutcomeOf(end.connectError);
}

}
