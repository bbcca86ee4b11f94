#include "Rollouts/RolloutState.h"

#include <algorithm>
#include <google/protobuf/util/json_util.h>

namespace burlreach {

namespace {

constexpr double PerMille = 1000;

}

std::string writeRolloutState(const RolloutState& state)
{
    peers::RolloutState message;
    message.set_new_version(state.targetVersion);
    message.set_order(state.order);
    message.set_phase(static_cast<std::uint32_t>(state.phase));
    message.set_share_per_mille(static_cast<std::uint32_t>(state.share * PerMille));
    message.set_elapsed_milliseconds(static_cast<std::uint32_t>(std::max(0.0, state.elapsed.count)));
    std::string text;
    // Converting a message with only plain fields to JSON cannot fail.
    static_cast<void>(google::protobuf::util::MessageToJsonString(message, &text));
    return text;
}

std::optional<RolloutState> readRolloutState(const std::string& value)
{
    peers::RolloutState message;
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    const bool isRead = google::protobuf::util::JsonStringToMessage(value, &message, options).ok();
    if (!isRead || message.phase() > static_cast<std::uint32_t>(RolloutPhase::RolledBack))
        return std::nullopt;
    RolloutState state;
    state.targetVersion = message.new_version();
    state.order = message.order();
    state.phase = static_cast<RolloutPhase>(message.phase());
    state.share = std::min(1.0, message.share_per_mille() / PerMille);
    state.elapsed = { static_cast<double>(message.elapsed_milliseconds()) };
    return state;
}

std::string_view nameOf(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::Completed:
        return "completed";
    case RolloutPhase::RolledBack:
        return "rolled_back";
    default:
        return "running";
    }
}

}
