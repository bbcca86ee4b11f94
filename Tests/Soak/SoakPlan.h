#pragma once

#include "Base/Milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace burlreach {

/** A fault that the soak brings about from outside, or planned work. */
enum class SoakFault {
    KillInstance,
    StopInstance, // SIGTERM, and a new start when it is gone
    PauseInstance,
    ReloadInstance,
    ResetCallers, // the connections of one instance
    CutStore, // one instance, silently
    CutStoreOneWay,
    RefuseStore,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    StoreForgets,
    KillServer,
    PauseServer,
    ServerSheds,
    ServerCutsAnswers,
    SilenceServer,
    SilenceServerBack, // it runs requests and its answers are lost
    DelayServer,
    ResetServer,
    ChangeConfiguration,
    LeavingServer, // it says so in its answers
    SuspendInstance, // its clock has gone on meanwhile, its timers have not
    ServerAsksPause, // it turns requests away and says for how long it wants none
    ServerNamesLimit, // it takes so many requests a second from all instances together
    Count
};

std::string_view nameOf(SoakFault fault);

/** A fault at a time of the run. */
struct SoakStep {
    SoakFault fault = SoakFault::KillInstance;
    std::size_t target = 0; // an instance or a backend server
    Milliseconds at;
    Milliseconds lasts;
};

struct SoakPlanOptions {
    std::uint64_t seed = 1;
    std::size_t instances = 3;
    std::size_t servers = 4;
    Milliseconds length{ 10000 };
};

/** True for a run without unplanned faults: nothing may be cut in it. */
bool isPlannedOnly(std::uint64_t seed);

/** True for a run with a request that crashes servers, and with troubles that leave the others in touch. */
bool hasCrashingRequest(std::uint64_t seed);

/** True for a run with servers that speak of themselves, in which no instance is stopped, killed or stands still. */
bool hasServerWords(std::uint64_t seed);

/** True for a run whose servers name limits besides. */
bool hasNamedLimits(std::uint64_t seed);

/** The steps of a seed in the order of their times; they overlap and come in series. */
std::vector<SoakStep> planOf(const SoakPlanOptions& options);

}
