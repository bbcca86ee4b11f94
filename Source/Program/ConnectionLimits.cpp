#include "Program/ConnectionLimits.h"

#include <algorithm>
#include <sys/resource.h>

namespace burlreach {

namespace {

/** Kept for files and whatever is no connection, but never more than half. */
constexpr std::size_t FileDescriptors = 200;
constexpr double CallersShare = 0.5;
constexpr double PeersShare = 0.15;
constexpr double RelaysShare = 0.05;
/** The platform asks once a second. */
constexpr std::size_t MostReadiness = 64;

std::size_t openableDescriptors()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

std::size_t shareOf(std::size_t number, double share)
{
    return std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(number) * share));
}

}

ConnectionLimits connectionLimits(std::size_t descriptors)
{
    const std::size_t all = descriptors ? descriptors : openableDescriptors();
    const std::size_t sockets = all - std::min(FileDescriptors, all / 2);
    return { .callers = shareOf(sockets, CallersShare),
        .peers = shareOf(sockets, PeersShare),
        .relays = shareOf(sockets, RelaysShare),
        .readiness = std::min(MostReadiness, shareOf(sockets, RelaysShare)) };
}

}
