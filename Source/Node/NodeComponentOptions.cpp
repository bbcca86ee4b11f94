#include "Node/NodeComponentOptions.h"

#include "Routing/LoadAwarePolicy.h"

#include <algorithm>

namespace burlreach {

namespace {

class DefaultPolicyFactory final : public PolicyFactory {
public:
    std::unique_ptr<RoutingPolicy> create() const override { return std::make_unique<LoadAwarePolicy>(); }
};

/**
 * Upper bound of the random delay before the first store read. When many
 * instances start together, the first to read send the data to the others,
 * which then need not read. Instances with more processor time read first
 * because they distribute it faster: the bound is 1 s with a tenth of a
 * processor, 250 ms with a fifth and 40 ms with a half.
 */
Milliseconds firstReadingSpread(std::uint32_t capacity)
{
    constexpr Milliseconds longest{ 1000 };
    constexpr Milliseconds onWholeProcessor{ 10 };
    constexpr double percent = 100;
    constexpr std::uint32_t assumedCapacity = 20;
    const double share = (capacity ? capacity : assumedCapacity) / percent;
    return std::min(longest, onWholeProcessor * (1 / (share * share)));
}

}

std::shared_ptr<const PolicyFactory> policiesOf(const Node::Options& options)
{
    return options.policies ? options.policies : std::make_shared<DefaultPolicyFactory>();
}

peers::Member memberOf(const Node::Options& options)
{
    peers::Member member;
    member.mutable_incarnation()->set_name(options.name);
    member.mutable_incarnation()->set_number(options.incarnation);
    member.set_address(options.peersAddress.host);
    member.set_port(options.peersAddress.port);
    member.set_data_centre(options.dataCentre);
    member.set_capacity(options.capacity);
    member.set_relay_port(options.relayAddress.port);
    return member;
}

StoreReader::Options readerOf(const Node::Options& options)
{
    StoreReader::Options reader = options.store;
    reader.prefix = options.translator->watchedPrefix();
    reader.firstReadingSpread = firstReadingSpread(options.capacity);
    return reader;
}

RequestFlow::Options flowOf(const Node::Options& options)
{
    RequestFlow::Options flow = options.requests;
    flow.dataCentre = options.dataCentre;
    flow.search.dataCentre = options.dataCentre;
    return flow;
}

}
