#pragma once

#include <cstddef>
#include <string_view>

namespace burlreach {

/** Points in the life of requests, changes and members at which faults strike. */
enum class Step {
    RunOnceArrived,
    ClaimSent,
    ClaimPassedOn,
    ClaimAnswered,
    RunOnceSent,
    RunOnceStarted,
    RunOnceEnded,
    RunOncePassed,
    MayRepeatArrived,
    MayRepeatSent,
    MayRepeatEnded,
    ChangeAsked,
    ConfigurationRead,
    ConfigurationWritten,
    DocumentsPulled,
    DocumentsPushed,
    ToldInForce,
    OwnershipRead,
    OwnershipWritten,
    RecordsHanded,
    RecordsKept,
    PermitAsked,
    PermitGiven,
    ProbeSent,
    ProbeEnded,
    BackendServerLeaving,
    StopAsked,
    Started,
    Count
};

std::string_view nameOf(Step step);

}
