#include "Rollouts/RolloutPlan.h"

#include <algorithm>
#include <array>

namespace burlreach {

namespace {

struct Step {
    double from; // share of the duration
    double share; // of the requests
};

/**
 * Before all requests move, the new version gets 0.041 of the requests of the whole duration with these steps. After
 * the move, a bad version gets another 0.06 of the requests of a 12 s roll-out before it is detected, within 0.7 s.
 */
constexpr std::array<Step, 3> Steps{ Step{ .from = 0, .share = 0.03 }, Step{ .from = 0.55, .share = 0.1 },
    Step{ .from = 0.62, .share = 0.3 } };
/** The share of the duration from which all requests move, given enough capacity and answers. */
constexpr double MoveFrom = 0.68;
/** From here all requests move even without enough capacity or answers. */
constexpr double MoveDeadline = 0.85;
/** The answers needed to evaluate the new version. A service with few requests gives it a larger share to get them. */
constexpr std::uint64_t EnoughAnswers = 25;
constexpr double MaximumFirstShare = 0.2;
/** Instances report their counts every 1.2 s: by then the service's request rate is known. */
constexpr Milliseconds RateKnownAfter{ 2500 };
/** The capacity that the new version needs before all requests move, as a share of the old version's. */
constexpr double EnoughCapacity = 0.5;
/** The share of the duration between the move and completion, in which faults that need the full load show. */
constexpr double ObservationShare = 0.08;

/**
 * The state is written again after this share of the duration, so that after a loss of all instances another one
 * continues with a recent elapsed time.
 */
constexpr double RewriteInterval = 0.1;

double firstShare(const RolloutProgress& progress)
{
    if (progress.elapsed < RateKnownAfter)
        return Steps[0].share;
    const double perSecond = static_cast<double>(progress.allAnswers) / (progress.elapsed / Second);
    const double expected = perSecond * (progress.duration / Second) * Steps[1].from;
    if (expected <= 0)
        return Steps[0].share;
    return std::clamp(static_cast<double>(EnoughAnswers) / expected, Steps[0].share, MaximumFirstShare);
}

double shareFor(const RolloutProgress& progress)
{
    const double timeShare = progress.elapsed / progress.duration;
    double share = firstShare(progress);
    for (const Step& step : Steps) {
        if (timeShare >= step.from)
            share = std::max(share, step.share);
    }
    return share;
}

bool shouldMove(const RolloutProgress& progress)
{
    const double timeShare = progress.elapsed / progress.duration;
    const bool isReady = progress.capacity >= EnoughCapacity && progress.targetAnswers >= EnoughAnswers;
    return progress.capacity > 0 && ((timeShare >= MoveFrom && isReady) || timeShare >= MoveDeadline);
}

RolloutState withPhase(RolloutState state, RolloutPhase phase, double share, Milliseconds elapsed)
{
    state.phase = phase;
    state.share = share;
    state.elapsed = elapsed;
    return state;
}

}

std::optional<RolloutState> RolloutPlan::next(const RolloutState& state, const RolloutProgress& progress)
{
    const Milliseconds now = progress.elapsed;
    if (state.isOver())
        return std::nullopt;
    if (progress.isBad)
        return withPhase(state, RolloutPhase::RolledBack, 0, now);
    if (state.phase == RolloutPhase::Moved) {
        const bool isWatched = now - state.elapsed >= progress.duration * ObservationShare;
        const bool isDone = progress.isOldIdle && isWatched;
        return isDone ? std::optional(withPhase(state, RolloutPhase::Completed, 1, now)) : std::nullopt;
    }
    if (shouldMove(progress))
        return withPhase(state, RolloutPhase::Moved, 1, now);
    // Without servers of the new version there is nothing to send requests to.
    const double share = progress.capacity > 0 ? shareFor(progress) : 0;
    constexpr double worthAChange = 1.3;
    const bool isLarger = share > state.share * worthAChange;
    const bool mustRewrite = now - state.elapsed > progress.duration * RewriteInterval;
    const double nextShare = isLarger ? share : state.share;
    return isLarger || mustRewrite ? std::optional(withPhase(state, RolloutPhase::Trying, nextShare, now))
                                   : std::nullopt;
}

}
