#include "Membership/ContactRegistry.h"

#include <algorithm>
#include <utility>

namespace burlreach {

ContactRegistry::ContactRegistry(Options givenOptions)
    : options(std::move(givenOptions))
{
}

void ContactRegistry::learn(const NetworkAddress& address)
{
    if (address == this->options.own)
        return;
    std::erase(this->addresses, address);
    this->addresses.push_back(address);
    if (this->addresses.size() > this->options.maximumAddresses)
        this->addresses.pop_front();
}

std::vector<NetworkAddress> ContactRegistry::some(std::size_t most, Random& random) const
{
    std::vector<NetworkAddress> left(this->addresses.begin(), this->addresses.end());
    std::vector<NetworkAddress> found;
    while (!left.empty() && found.size() < most) {
        const std::size_t index = random.below(left.size());
        found.push_back(left[index]);
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return found;
}

}
