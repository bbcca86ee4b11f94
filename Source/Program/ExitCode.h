#pragma once

namespace burlreach {

/** Exit codes of the program; docs/OPERATIONS.md lists them. */
enum class ExitCode {
    Success = 0,
    Refused = 1, // the findings were printed
    Usage = 2,
    Conflict = 3,
    Unknown = 4, // the outcome of the change is not known; repeat it with the same change id
    Unreachable = 6
};

constexpr int toInt(ExitCode code)
{
    return static_cast<int>(code);
}

}
