#include "Node/Events.h"

namespace burlreach {

namespace {

std::string_view nameOf(const RequestArrived&)
{
    return "request_arrived";
}

std::string_view nameOf(const RefusedEarly&)
{
    return "refused_early";
}

std::string_view nameOf(const CallerGone&)
{
    return "caller_gone";
}

std::string_view nameOf(const AnswerBegun&)
{
    return "answer_begun";
}

std::string_view nameOf(const AttemptEnded&)
{
    return "attempt_ended";
}

std::string_view nameOf(const ServerNoticed&)
{
    return "server_noticed";
}

std::string_view nameOf(const UnreadFieldSeen&)
{
    return "unread_field_seen";
}

std::string_view nameOf(const ProbeEnded&)
{
    return "probe_ended";
}

std::string_view nameOf(const ServerChecked&)
{
    return "server_checked";
}

std::string_view nameOf(const RelayAsked&)
{
    return "relay_asked";
}

std::string_view nameOf(const RelayConnectFailed&)
{
    return "relay_connect_failed";
}

std::string_view nameOf(const PeerMessageArrived& event)
{
    switch (event.message.body_case()) {
    case peers::PeerMessage::kNews:
        return "peer_news";
    case peers::PeerMessage::kPull:
        return "peer_pull";
    case peers::PeerMessage::kPush:
        return "peer_push";
    case peers::PeerMessage::kHello:
        return "peer_hello";
    default:
        return "peer_message";
    }
}

std::string_view nameOf(const StoreAnswered&)
{
    return "store_answered";
}

std::string_view nameOf(const ItemTranslated&)
{
    return "item_translated";
}

std::string_view nameOf(const SeedsChanged&)
{
    return "seeds_changed";
}

std::string_view nameOf(const ChangeAsked&)
{
    return "change_asked";
}

std::string_view nameOf(const InForceAsked&)
{
    return "in_force_asked";
}

std::string_view nameOf(const StopAsked&)
{
    return "stop_asked";
}

std::string_view nameOf(const RequestTimer&)
{
    return "request_timer";
}

std::string_view nameOf(const ControlTimer&)
{
    return "control_timer";
}

}

std::string_view nameOf(const Event& event)
{
    return std::visit([](const auto& item) { return nameOf(item); }, event);
}

}
