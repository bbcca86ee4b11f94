#pragma once

#include "Base/Milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace burlreach {

/** A fault that the soak injects from outside the processes, or planned work. */
enum class SoakFault {
    KillInstance,
    StopInstance, // SIGTERM, and a restart once the process has ended
    PauseInstance,
    ReloadInstance,
    ResetCallers, // resets the callers' connections to one instance
    CutStore, // discards all bytes between one instance and the store
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
    SilenceServerBack, // the server runs requests, but its answers are lost
    DelayServer,
    ResetServer,
    ChangeConfiguration,
    LeavingServer, // the server reports in its answers that it leaves
    SuspendInstance, // on resumption its clock has advanced, its timers have not
    ServerAsksPause, // the server refuses requests and asks for a pause
    ServerNamesLimit, // the server reports a limit in requests per second from all instances together
    ServerSendsInterim, // an interim answer without a name comes before each answer
    ServerRepeatsAnswers, // a second copy of each answer comes late, where the next answer on the connection is due
    ServerSendsEndlessly, // bytes without end come in place of answers
    UnrulyCallers, // a crowd sends requests that stop short of their end, or many large ones, and stays connected
    CutPaths, // an instance's connections to servers are reset and new ones refused; others still reach them
    ServerEndsAnswers, // answers have no length and end with their connection
    ServerEndsShort, // connections end in order before the last bytes of answers
    Count
};

std::string_view nameOf(SoakFault fault);

/** A fault, its target, and its time within the run. */
struct SoakStep {
    SoakFault fault = SoakFault::KillInstance;
    std::size_t target = 0; // index of an instance or backend server, modulo their number
    Milliseconds at;
    Milliseconds lasts;
};

struct SoakPlanOptions {
    std::uint64_t seed = 1;
    std::size_t instances = 3;
    std::size_t servers = 4;
    Milliseconds length{ 10000 };
};

/** True for a run with planned work only, in which no request may be cut. */
bool isPlannedOnly(std::uint64_t seed);

/** True for a run with a request that crashes servers, and only faults that leave the other instances connected. */
bool hasCrashingRequest(std::uint64_t seed);

/** True for a run in which servers send notices, and no instance is stopped, killed, or paused. */
bool hasServerWords(std::uint64_t seed);

/** True for a run in which servers also report limits. */
bool hasNamedLimits(std::uint64_t seed);

/**
 * True for a run in which servers send surplus, interim and endless bytes, some requests take long, and instances are
 * stopped; no request may be cut.
 */
bool hasSpoiltAnswers(std::uint64_t seed);

/** True for a run with crowds of callers that don't behave, on instances with little memory. */
bool hasUnrulyCallers(std::uint64_t seed);

/** True for a run in which instances lose their paths to servers, and instances that relay for them end. */
bool hasRelays(std::uint64_t seed);

/** The steps of a seed, in order of time; steps may overlap, and the same fault may repeat in quick succession. */
std::vector<SoakStep> planOf(const SoakPlanOptions& options);

}
