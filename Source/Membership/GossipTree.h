#pragma once

#include "Base/NetworkAddress.h"
#include "Membership/MemberTable.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace burlreach {

/** An instance that is sent a gossip update, and the instances to which it forwards it. */
struct GossipBranch {
    NetworkAddress receiver;
    std::vector<NetworkAddress> relayTo;
};

/** How gossip updates spread from the instance that creates them. */
struct GossipTreeOptions {
    std::string origin; // name of the instance that creates the updates
    std::string dataCentre; // of that instance
    std::size_t mostBranches = 8; // direct receivers in the same data centre
    std::size_t branchesElsewhere = 2; // direct receivers in each other data centre
    Milliseconds inactiveAfter{ 1900 }; // without a message for this long, an instance is not chosen to forward updates
};

/**
 * The branches to which the origin sends an update itself. Within its own data centre there are up to mostBranches of
 * them; each other data centre gets one or two copies, whose receivers forward them inside it. So the traffic between
 * data centres does not grow with the fleet. Instances with more capacity come first, those without a recent message
 * last. The order of the others depends on the origin, so that the loss of one instance does not cut others off from
 * the updates of all origins.
 */
std::vector<GossipBranch> rootBranches(
    std::span<const KnownMember> members, const GossipTreeOptions& options, Milliseconds now);

/** Distributes the receivers over at most this many branches; every forwarding instance does the same. */
std::vector<GossipBranch> splitIntoBranches(std::span<const NetworkAddress> receivers, std::size_t mostBranches);

}
