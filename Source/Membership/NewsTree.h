#pragma once

#include "Base/NetworkAddress.h"
#include "Membership/MemberTable.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace burlreach {

/** An instance that is sent news, and those to which it passes them on. */
struct NewsBranch {
    NetworkAddress receiver;
    std::vector<NetworkAddress> relayTo;
};

/** How news spread from the instance where they begin. */
struct NewsTreeOptions {
    std::string origin; // its name
    std::string dataCentre; // its own
    std::size_t mostBranches = 8; // copies within its own data centre
    std::size_t headsElsewhere = 2; // copies to each other data centre
    Milliseconds silentAfter{ 1900 }; // an instance not heard for so long passes nothing on to others
};

/**
 * The first step of news: within its own data centre a few branches, into each
 * other data centre a copy or two, whose receivers pass them on inside it. So
 * the bytes between data centres do not grow with the fleet. Strong instances
 * come first, silent ones last; who is a head differs with the origin, so that
 * no one's loss cuts others off from all origins.
 */
std::vector<NewsBranch> firstBranches(
    std::span<const KnownMember> members, const NewsTreeOptions& options, Milliseconds now);

/** Each further step: spreads the receivers over at most so many branches. */
std::vector<NewsBranch> branchesOf(std::span<const NetworkAddress> receivers, std::size_t mostBranches);

}
