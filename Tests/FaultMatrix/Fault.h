#pragma once

#include "Tests/Virtual/VirtualFleet.h"

#include <functional>
#include <span>
#include <string_view>

namespace burlreach {

/** Something that goes wrong, and how it is set right again. */
struct Fault {
    std::string_view name;
    std::function<void(VirtualFleet&)> inject;
    std::function<void(VirtualFleet&)> heal;
    bool hitsStore = false; // the store as a whole: bounds counted from its word do not hold meanwhile
    Milliseconds lasts; // from the injection, when it ends by itself
    bool isConfined = true; // the other instances and servers must go on serving meanwhile
};

/** The instance on which steps are observed, and which faults of one instance strike. */
inline constexpr std::size_t StruckInstance = 0;

std::span<const Fault> allFaults();
/** Apart from them, so that the cells of those above keep their seeds. */
std::span<const Fault> laterFaults();
/** Servers that say of themselves that they leave, or that they want nothing for a while; apart for the same reason. */
std::span<const Fault> wordFaults();

}
