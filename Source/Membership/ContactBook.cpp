#include "Membership/ContactBook.h"

#include <algorithm>
#include <utility>

namespace burlreach {

ContactBook::ContactBook(Options givenOptions)
    : options(std::move(givenOptions))
{
}

void ContactBook::learn(const NetworkAddress& address)
{
    if (address == this->options.own)
        return;
    std::erase(this->addresses, address);
    this->addresses.push_back(address);
    if (this->addresses.size() > this->options.maximumAddresses)
        this->addresses.pop_front();
}

std::vector<NetworkAddress> ContactBook::some(std::size_t most, Random& random) const
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
