#pragma once

#include "Base/Milliseconds.h"
#include "Rollouts/RolloutState.h"

#include <cstdint>
#include <optional>

namespace burlreach {

/** The inputs for the next decision on a running roll-out. */
struct RolloutProgress {
    Milliseconds elapsed; // since the order
    Milliseconds duration;
    bool isBad = false; // the new version was found worse than the old one
    std::uint64_t targetAnswers = 0; // of the new version, at all instances
    std::uint64_t allAnswers = 0; // of both versions, at all instances
    double capacity = 0; // of the new version's servers, as a share of the old version's
    bool isOldIdle = false; // no instance has a request under way at the old version, or will send one
};

/**
 * Decides the next step of a roll-out. A version found bad is rolled back at any time. The share of the new version
 * stays small for more than half of the duration, then grows in two short steps, so that a version whose faults show
 * late or only under load gets few requests before. Then all requests move, if the new version has enough capacity and
 * answers, or at the latest towards the end of the duration. The roll-out is complete when the old version is idle and
 * the new one has served the full load for a while.
 */
class RolloutPlan {
public:
    /** The state to write next; nullopt while there is nothing to change. */
    static std::optional<RolloutState> next(const RolloutState& state, const RolloutProgress& progress);
};

}
