#include "Routing/ConnectOutcome.h"

namespace burlreach {

std::string_view nameOf(ConnectOutcome outcome)
{
    switch (outcome) {
    case ConnectOutcome::Reused:
        return "reused";
    case ConnectOutcome::Connected:
        return "connected";
    case ConnectOutcome::Refused:
        return "refused";
    case ConnectOutcome::NoAnswer:
        return "no_answer";
    case ConnectOutcome::RelayUnreached:
        return "relay_unreached";
    case ConnectOutcome::RelayDeclined:
        return "relay_declined";
    case ConnectOutcome::RelayNoPath:
        return "relay_no_path";
    case ConnectOutcome::RelayServiceUnreached:
        return "relay_service_unreached";
    case ConnectOutcome::Abandoned:
        break;
    }
    return "abandoned";
}

}
