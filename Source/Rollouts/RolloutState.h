#pragma once

#include "Base/Milliseconds.h"
#include "peers.pb.h"

#include <cstdint>
#include <optional>
#include <string>

namespace burlreach {

/** The prefix of the keys of roll-out states, one per service; the same in every dialect of the store. */
inline constexpr const char* RolloutPrefix = "burlreach/rollouts/";

enum class RolloutPhase {
    Trying, // a share of the requests goes to the new version
    Moved, // all new requests go to the new version; those at the old version finish
    Completed, // no request is under way at the old version
    RolledBack // the new version gets no more requests
};

/** The progress of a roll-out. It is kept in the store, so that any instance can continue it. */
struct RolloutState {
    std::string targetVersion;
    std::uint64_t order = 0; // RolloutOrder::number
    RolloutPhase phase = RolloutPhase::Trying;
    double share = 0; // share of the requests that goes to the new version
    Milliseconds elapsed; // from the order until this state was written

    bool isOver() const { return this->phase == RolloutPhase::Completed || this->phase == RolloutPhase::RolledBack; }
};

/** Encodes the state as JSON. */
std::string writeRolloutState(const RolloutState& state);
/** nullopt when the value is not such a state. */
std::optional<RolloutState> readRolloutState(const std::string& value);

/** The name shown to operators: "running", "completed" or "rolled_back". */
std::string_view nameOf(RolloutPhase phase);

}
