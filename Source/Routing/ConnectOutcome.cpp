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
    case ConnectOutcome::RelayUnavailable:
        return "relay_unavailable";
    case ConnectOutcome::Abandoned:
        break;
    }
    return "abandoned";
}

}
