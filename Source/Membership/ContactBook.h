#pragma once

#include "Base/NetworkAddress.h"
#include "Base/Random.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace burlreach {

/** Addresses of instances that were there not long ago; the newest replace the oldest. */
class ContactBook {
public:
    struct Options {
        NetworkAddress own; // never noted
        std::size_t most = 24;
    };

    explicit ContactBook(Options options);

    void learn(const NetworkAddress& address);
    /** At most so many, chosen at random. */
    std::vector<NetworkAddress> some(std::size_t most, Random& random) const;

private:
    Options options;
    std::deque<NetworkAddress> addresses;
};

}
