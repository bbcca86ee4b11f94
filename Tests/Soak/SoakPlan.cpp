#include "Tests/Soak/SoakPlan.h"

#include "Base/Random.h"

#include <algorithm>
#include <array>

namespace burlreach {

namespace {

constexpr auto FaultCount = static_cast<std::size_t>(SoakFault::Count);
constexpr std::array<std::string_view, FaultCount> Names{ "kill-instance", "stop-instance", "pause-instance",
    "reload-instance", "reset-callers", "cut-store", "cut-store-one-way", "refuse-store", "store-down", "store-slow",
    "store-loses-answers", "store-forgets", "kill-server", "pause-server", "server-sheds", "server-cuts-answers",
    "silence-server", "silence-server-back", "delay-server", "reset-server", "change-configuration", "leaving-server",
    "suspend-instance", "server-asks-pause", "server-names-limit", "server-sends-interim", "server-repeats-answers",
    "server-sends-endlessly", "unruly-callers", "cut-paths", "server-ends-answers", "server-ends-short" };
/** Number of faults from which seeds below FirstSeedWithCrashes draw; their plans must stay reproducible. */
constexpr auto UsualCount = static_cast<std::size_t>(SoakFault::SuspendInstance);
constexpr std::uint64_t FirstSeedWithCrashes = 1000;
constexpr std::uint64_t FirstSeedWithWords = 2000;
constexpr std::uint64_t FirstSeedWithLimits = 3000;
constexpr std::uint64_t FirstSeedWithSpoiltAnswers = 20000;
constexpr std::uint64_t FirstSeedWithUnrulyCallers = 30000;
constexpr std::uint64_t FirstSeedWithRelays = 40000;
/** Share of the faults that are reported limits. */
constexpr double LimitShare = 0.5;
/** Excludes faults that restart or pause instances, since such an instance may not have received a notice. */
constexpr std::array<SoakFault, 14> BesideWords{ SoakFault::LeavingServer, SoakFault::LeavingServer,
    SoakFault::ServerAsksPause, SoakFault::ServerAsksPause, SoakFault::ServerAsksPause, SoakFault::CutStore,
    SoakFault::StoreDown, SoakFault::StoreLosesAnswers, SoakFault::StoreForgets, SoakFault::ServerCutsAnswers,
    SoakFault::ResetServer, SoakFault::ResetCallers, SoakFault::ReloadInstance, SoakFault::ChangeConfiguration };
constexpr std::array<SoakFault, 8> BesideCrashes{ SoakFault::SuspendInstance, SoakFault::SuspendInstance,
    SoakFault::KillServer, SoakFault::PauseServer, SoakFault::ServerSheds, SoakFault::ServerCutsAnswers,
    SoakFault::ReloadInstance, SoakFault::ChangeConfiguration };
/** Nothing that ends or pauses an instance or a server before its time: no request may be cut. */
constexpr std::array<SoakFault, 8> BesideSpoiltAnswers{ SoakFault::StopInstance, SoakFault::StopInstance,
    SoakFault::ServerRepeatsAnswers, SoakFault::ServerRepeatsAnswers, SoakFault::ServerSendsInterim,
    SoakFault::ServerSendsEndlessly, SoakFault::ServerSheds, SoakFault::ChangeConfiguration };
constexpr std::array<SoakFault, 12> BesideUnrulyCallers{ SoakFault::UnrulyCallers, SoakFault::UnrulyCallers,
    SoakFault::UnrulyCallers, SoakFault::UnrulyCallers, SoakFault::StopInstance, SoakFault::KillInstance,
    SoakFault::PauseInstance, SoakFault::KillServer, SoakFault::ServerSheds, SoakFault::StoreDown,
    SoakFault::ResetCallers, SoakFault::ChangeConfiguration };
constexpr std::array<SoakFault, 14> BesideRelays{ SoakFault::CutPaths, SoakFault::CutPaths, SoakFault::CutPaths,
    SoakFault::CutPaths, SoakFault::KillInstance, SoakFault::KillInstance, SoakFault::StopInstance,
    SoakFault::StopInstance, SoakFault::PauseInstance, SoakFault::ServerEndsAnswers, SoakFault::ServerEndsAnswers,
    SoakFault::ServerEndsShort, SoakFault::ServerCutsAnswers, SoakFault::ResetServer };
constexpr std::array<SoakFault, 4> Planned{ SoakFault::StopInstance, SoakFault::ReloadInstance,
    SoakFault::ChangeConfiguration, SoakFault::LeavingServer };

constexpr std::uint64_t PlannedOnlyEach = 4;
constexpr Milliseconds FirstStep{ 500 };
constexpr Milliseconds LongestGap{ 900 };
constexpr Milliseconds ShortestFault{ 200 };
constexpr Milliseconds LongestFault{ 2500 };
/** Share of the steps that repeat the previous fault after SeriesGap. */
constexpr double SeriesShare = 0.25;
constexpr Milliseconds SeriesGap{ 40 };

SoakFault drawFault(std::uint64_t seed, Random& random)
{
    if (hasRelays(seed))
        return BesideRelays[random.below(BesideRelays.size())];
    if (hasUnrulyCallers(seed))
        return BesideUnrulyCallers[random.below(BesideUnrulyCallers.size())];
    if (hasSpoiltAnswers(seed))
        return BesideSpoiltAnswers[random.below(BesideSpoiltAnswers.size())];
    if (hasNamedLimits(seed) && random.unit() < LimitShare)
        return SoakFault::ServerNamesLimit;
    if (hasServerWords(seed))
        return BesideWords[random.below(BesideWords.size())];
    if (hasCrashingRequest(seed))
        return BesideCrashes[random.below(BesideCrashes.size())];
    return isPlannedOnly(seed) ? Planned[random.below(Planned.size())]
                               : static_cast<SoakFault>(random.below(UsualCount));
}

}

std::string_view nameOf(SoakFault fault)
{
    return Names[static_cast<std::size_t>(fault)];
}

bool isPlannedOnly(std::uint64_t seed)
{
    return seed < FirstSeedWithCrashes && seed % PlannedOnlyEach == 0;
}

bool hasCrashingRequest(std::uint64_t seed)
{
    return seed >= FirstSeedWithCrashes && seed < FirstSeedWithWords;
}

bool hasServerWords(std::uint64_t seed)
{
    return seed >= FirstSeedWithWords && seed < FirstSeedWithSpoiltAnswers;
}

bool hasNamedLimits(std::uint64_t seed)
{
    return seed >= FirstSeedWithLimits && seed < FirstSeedWithSpoiltAnswers;
}

bool hasSpoiltAnswers(std::uint64_t seed)
{
    return seed >= FirstSeedWithSpoiltAnswers && seed < FirstSeedWithUnrulyCallers;
}

bool hasUnrulyCallers(std::uint64_t seed)
{
    return seed >= FirstSeedWithUnrulyCallers && seed < FirstSeedWithRelays;
}

bool hasRelays(std::uint64_t seed)
{
    return seed >= FirstSeedWithRelays;
}

std::vector<SoakStep> planOf(const SoakPlanOptions& options)
{
    Random random(options.seed);
    std::vector<SoakStep> steps;
    Milliseconds at = FirstStep;
    while (at < options.length) {
        const bool isSeries = !steps.empty() && random.unit() < SeriesShare;
        SoakStep step;
        step.fault = isSeries ? steps.back().fault : drawFault(options.seed, random);
        step.target = random.below(options.instances * options.servers);
        step.at = at;
        step.lasts = ShortestFault + (LongestFault - ShortestFault) * random.unit();
        steps.push_back(step);
        at = at + (isSeries ? SeriesGap : LongestGap * random.unit());
    }
    return steps;
}

}
