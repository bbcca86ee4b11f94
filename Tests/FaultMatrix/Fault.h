#pragma once

#include "Tests/Virtual/VirtualFleet.h"

#include <functional>
#include <span>
#include <string_view>

namespace burlreach {

/** A fault: how it is injected and how it is healed. */
struct Fault {
    std::string_view name;
    std::function<void(VirtualFleet&)> inject;
    std::function<void(VirtualFleet&)> heal;
    bool hitsStore = false; // affects the whole store; bounds counted from its answers do not hold meanwhile
    Milliseconds lasts; // time from the injection until the fault ends by itself; 0: it does not
    bool isConfined = true; // the other instances and servers must keep serving during the fault
};

/** The instance whose steps are observed, and the target of faults that affect a single instance. */
inline constexpr std::size_t StruckInstance = 0;

/** The first set of faults. */
std::span<const Fault> allFaults();
/** Faults kept apart from allFaults() so that the cells of allFaults() keep their seeds. */
std::span<const Fault> laterFaults();
/** Backend servers that report that they leave, ask for a pause, or report a limit; kept apart for the same reason. */
std::span<const Fault> wordFaults();
/** Lost network paths from instances to backend servers; kept apart for the same reason. */
std::span<const Fault> pathFaults();
/** Lost paths that differ between instances, for long enough that others must relay; kept apart for the same reason. */
std::span<const Fault> unequalPathFaults();
/** Planned stops of a process that ends at its time limit, beside servers that work longer; kept apart likewise. */
std::span<const Fault> stopFaults();

}
