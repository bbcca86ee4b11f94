#pragma once

#include "Base/NetworkAddress.h"
#include "Base/Random.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace burlreach {

/** The addresses of recently known instances; when it is full, a new address replaces the oldest one. */
class ContactRegistry {
public:
    struct Options {
        NetworkAddress own; // the address of this instance, which is never added
        std::size_t maximumAddresses = 24;
    };

    explicit ContactRegistry(Options options);

    /** Adds the address, or moves it to the newest position. */
    void learn(const NetworkAddress& address);
    /** Up to `most` different addresses, chosen at random. */
    std::vector<NetworkAddress> some(std::size_t most, Random& random) const;

private:
    Options options;
    std::deque<NetworkAddress> addresses;
};

}
