#pragma once

#include "peers.pb.h"

#include <cstddef>
#include <span>
#include <vector>

namespace burlreach {

/** An instance that is sent news, and those to which it passes them on. */
struct NewsBranch {
    peers::Member receiver;
    std::vector<peers::Member> relayTo;
};

/**
 * Spreads the receivers over at most so many branches. A fleet up to that size
 * is told directly; in a larger one every receiver passes the news on to a
 * share of the rest, so nobody sends more than that many copies.
 */
std::vector<NewsBranch> branchesOf(std::span<const peers::Member> receivers, std::size_t mostBranches);

}
