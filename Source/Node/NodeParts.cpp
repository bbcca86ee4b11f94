#include "Node/NodeParts.h"

#include "Routing/LoadAwarePolicy.h"

#include <algorithm>

namespace burlreach {

namespace {

class DefaultPolicyFactory final : public PolicyFactory {
public:
    std::unique_ptr<RoutingPolicy> create() const override { return std::make_unique<LoadAwarePolicy>(); }
};

/**
 * All that begin together need not read the store at once, since those that
 * have read tell the others. Strong instances read first and tell quickly: with
 * a tenth of a processor within a second, a fifth 250 ms, a half 40 ms.
 */
Milliseconds firstReadingSpread(std::uint32_t capacity)
{
    constexpr Milliseconds longest{ 1000 };
    constexpr Milliseconds ofWholeProcessor{ 10 };
    constexpr double percent = 100;
    constexpr std::uint32_t usual = 20;
    const double share = (capacity ? capacity : usual) / percent;
    return std::min(longest, ofWholeProcessor * (1 / (share * share)));
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
