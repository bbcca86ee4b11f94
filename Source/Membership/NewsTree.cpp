#include "Membership/NewsTree.h"

#include <algorithm>

namespace burlreach {

std::vector<NewsBranch> branchesOf(std::span<const peers::Member> receivers, std::size_t mostBranches)
{
    std::vector<NewsBranch> branches;
    const std::size_t count = std::min(receivers.size(), mostBranches);
    branches.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
        branches.push_back({ .receiver = receivers[index], .relayTo = {} });
    for (std::size_t index = count; index < receivers.size(); ++index)
        branches[index % count].relayTo.push_back(receivers[index]);
    return branches;
}

}
