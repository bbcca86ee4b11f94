#pragma once

#include "Base/Milliseconds.h"
#include "Rollouts/RolloutState.h"

#include <cstdint>
#include <optional>

namespace burlreach {

/** What is known of a roll-out that runs. */
struct RolloutProgress {
    Milliseconds elapsed; // since the order
    Milliseconds duration;
    bool isBad = false; // the evidence speaks against the new version
    std::uint64_t targetAnswers = 0; // of the whole fleet
    std::uint64_t allAnswers = 0;
    double capacity = 0; // of the new version's servers, as a share of the old one's
    bool isOldIdle = false; // nothing is under way there from any instance, and nothing more will be sent
};

/**
 * Decides how a roll-out goes on. The share of the new version stays small for
 * more than half of the time, then grows in two short steps, so that a version
 * that shows late or only under load that it is bad has had few requests.
 */
class RolloutPlan {
public:
    /** The next state; nothing while it stays as it is. */
    static std::optional<RolloutState> next(const RolloutState& state, const RolloutProgress& progress);
};

}
