#pragma once

namespace burlreach {

/** Exit codes of the program; docs/OPERATIONS.md lists them. */
enum class ExitCode {
    Success = 0,
    Refused = 1, // findings were printed
    Usage = 2,
    Conflict = 3,
    Unknown = 4, // ask again with the same change id
    Unreachable = 6
};

constexpr int toInt(ExitCode code)
{
    return static_cast<int>(code);
}

}
