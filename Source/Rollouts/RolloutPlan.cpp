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
 * Until all requests move, 0.041 of them have gone to the new version. What it
 * then gets before a bad one is found is 0.06 of the requests of 12 s, in 0.7 s.
 */
constexpr std::array<Step, 3> Steps{ Step{ .from = 0, .share = 0.03 }, Step{ .from = 0.55, .share = 0.1 },
    Step{ .from = 0.62, .share = 0.3 } };
constexpr double MoveFrom = 0.68;
/** Then it moves also with less than enough servers or answers. */
constexpr double MoveAtLast = 0.85;
/** Answers that are worth a judgement; a service with few requests gives the new version a larger share for them. */
constexpr std::uint64_t EnoughAnswers = 25;
constexpr double LargestFirstShare = 0.2;
/** Instances tell every 1.2 s what they counted. */
constexpr Milliseconds RateKnownAfter{ 2500 };
constexpr double EnoughCapacity = 0.5;
/** After the move, before it is final: what only the whole load shows is seen by then. */
constexpr double WatchedFor = 0.08;

/** Written anew after this, so that whoever goes on with it after a loss of all knows how late it is. */
constexpr double KeptFor = 0.1;

double firstShare(const RolloutProgress& progress)
{
    if (progress.elapsed < RateKnownAfter)
        return Steps[0].share;
    const double perSecond = static_cast<double>(progress.allAnswers) / (progress.elapsed / Second);
    const double expected = perSecond * (progress.duration / Second) * Steps[1].from;
    if (expected <= 0)
        return Steps[0].share;
    return std::clamp(static_cast<double>(EnoughAnswers) / expected, Steps[0].share, LargestFirstShare);
}

double shareFor(const RolloutProgress& progress)
{
    const double at = progress.elapsed / progress.duration;
    double share = firstShare(progress);
    for (const Step& step : Steps) {
        if (at >= step.from)
            share = std::max(share, step.share);
    }
    return share;
}

bool shouldMove(const RolloutProgress& progress)
{
    const double at = progress.elapsed / progress.duration;
    const bool isReady = progress.capacity >= EnoughCapacity && progress.targetAnswers >= EnoughAnswers;
    return progress.capacity > 0 && ((at >= MoveFrom && isReady) || at >= MoveAtLast);
}

RolloutState with(RolloutState state, RolloutPhase phase, double share, Milliseconds elapsed)
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
        return with(state, RolloutPhase::RolledBack, 0, now);
    if (state.phase == RolloutPhase::Moved) {
        const bool isWatched = now - state.elapsed >= progress.duration * WatchedFor;
        const bool isDone = progress.isOldIdle && isWatched;
        return isDone ? std::optional(with(state, RolloutPhase::Completed, 1, now)) : std::nullopt;
    }
    if (shouldMove(progress))
        return with(state, RolloutPhase::Moved, 1, now);
    // Without its servers nothing can be tried.
    const double share = progress.capacity > 0 ? shareFor(progress) : 0;
    constexpr double worthAChange = 1.3;
    const bool isLarger = share > state.share * worthAChange;
    const bool isOld = now - state.elapsed > progress.duration * KeptFor;
    const double kept = isLarger ? share : state.share;
    return isLarger || isOld ? std::optional(with(state, RolloutPhase::Trying, kept, now)) : std::nullopt;
}

}
