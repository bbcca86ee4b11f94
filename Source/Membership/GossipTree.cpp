#include "Membership/GossipTree.h"

#include "Base/Hash.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string_view>
#include <tuple>

namespace burlreach {

namespace {

/** A receiver, with the values that determine its position among those of its data centre. */
struct Receiver {
    bool isSilent = false;
    std::uint32_t capacity = 0;
    std::uint64_t order = 0;
    NetworkAddress address;
};

bool isBefore(const Receiver& left, const Receiver& right)
{
    const auto rank = [](const Receiver& item) { return std::tuple(item.isSilent, ~item.capacity, item.order); };
    return rank(left) < rank(right);
}

}

std::vector<GossipBranch> rootBranches(
    std::span<const KnownMember> members, const GossipTreeOptions& options, Milliseconds now)
{
    std::map<std::string_view, std::vector<Receiver>> dataCentres;
    for (const KnownMember& known : members) {
        const peers::Member& member = known.member;
        dataCentres[member.data_centre()].push_back({ .isSilent = now - known.heardAt > options.inactiveAfter,
            .capacity = member.capacity(),
            .order = hashOf(options.origin + ' ' + member.incarnation().name()),
            .address = addressOf(member) });
    }
    std::vector<GossipBranch> branches;
    for (auto& [name, receivers] : dataCentres) {
        std::sort(receivers.begin(), receivers.end(), &isBefore);
        std::vector<NetworkAddress> addresses;
        addresses.reserve(receivers.size());
        for (Receiver& receiver : receivers)
            addresses.push_back(std::move(receiver.address));
        const std::size_t most = name == options.dataCentre ? options.mostBranches : options.branchesElsewhere;
        for (GossipBranch& branch : splitIntoBranches(addresses, most))
            branches.push_back(std::move(branch));
    }
    return branches;
}

std::vector<GossipBranch> splitIntoBranches(std::span<const NetworkAddress> receivers, std::size_t mostBranches)
{
    std::vector<GossipBranch> branches;
    const std::size_t count = std::min(receivers.size(), mostBranches);
    branches.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
        branches.push_back({ .receiver = receivers[index], .relayTo = {} });
    for (std::size_t index = count; index < receivers.size(); ++index)
        branches[index % count].relayTo.push_back(receivers[index]);
    return branches;
}

}
