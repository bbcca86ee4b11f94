#pragma once

#include <cstddef>
#include <string_view>

namespace burlreach {

/** What goes wrong in a cell of the fault matrix. */
enum class Fault {
    None,
    Kill,
    KillAndRestart,
    FreezeShort, // 1 s
    FreezeLong, // 15 s: past every deadline, patience and permit
    CutOutgoing, // from all peers, 8 s
    CutIncoming,
    CutBoth,
    CutFromStore,
    CallLost, // the message, store call or action at the step
    CallLate,
    CallTwice,
    StoreDown,
    StoreSlow,
    StoreLimited,
    StoreLosesAnswers, // after the change took effect
    WatchSilent,
    ListLags, // and an instance vanishes meanwhile
    TwoOperators, // change the same at the same moment
    ReplacedAtAddress, // a new life at once, the old one's messages still under way
    ClockFast,
    ClockSlow,
    BackendServerDies,
    BackendServerCuts, // answers break after the request ran
    BackendServerSheds,
    BackendServerSlow,
    Count
};

std::string_view nameOf(Fault fault);

}
