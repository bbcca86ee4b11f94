#pragma once

#include "Base/Milliseconds.h"
#include "peers.pb.h"

#include <cstdint>
#include <optional>
#include <string>

namespace burlreach {

/** The keys under which the states of roll-outs are kept, one a service, in every form of the store. */
inline constexpr const char* RolloutPrefix = "burlreach/rollouts/";

enum class RolloutPhase {
    Trying, // a share of the requests goes to the new version
    Moved, // all new requests go to it, what is under way at the old one ends
    Completed, // nothing is under way at the old one
    RolledBack // the new version gets nothing any more
};

/** How far a roll-out is; kept in the store, so that any instance can go on with it. */
struct RolloutState {
    std::string targetVersion;
    std::uint64_t order = 0; // the number of the order that it belongs to
    RolloutPhase phase = RolloutPhase::Trying;
    double share = 0; // of the requests, while trying
    Milliseconds elapsed; // since the order, when this was written

    bool isOver() const { return this->phase == RolloutPhase::Completed || this->phase == RolloutPhase::RolledBack; }
};

/** As text, in the JSON mapping. */
std::string writeRolloutState(const RolloutState& state);
/** Nothing when the value was not written by an instance. */
std::optional<RolloutState> readRolloutState(const std::string& value);

/** As operators read it: "running", "completed" or "rolled_back". */
std::string_view nameOf(RolloutPhase phase);

}
