#include "Tests/FaultMatrix/Fault.h"

#include <array>

namespace burlreach {

std::string_view nameOf(Fault fault)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(Fault::Count)> names{
        "none",
        "kill",
        "kill-and-restart",
        "freeze-short",
        "freeze-long",
        "cut-outgoing",
        "cut-incoming",
        "cut-both",
        "cut-from-store",
        "call-lost",
        "call-late",
        "call-twice",
        "store-down",
        "store-slow",
        "store-limited",
        "store-loses-answers",
        "watch-silent",
        "list-lags",
        "two-operators",
        "replaced-at-address",
        "clock-fast",
        "clock-slow",
        "backend-server-dies",
        "backend-server-cuts",
        "backend-server-sheds",
        "backend-server-slow",
    };
    static_assert(!names.back().empty());
    return names.at(static_cast<std::size_t>(fault));
}

}
