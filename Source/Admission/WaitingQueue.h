#pragma once

#include "Base/Milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace burlreach {

using RequestNumber = std::uint64_t;

/**
 * Priority queue of requests that wait for a backend server with a free slot: lowest rank first, and first in, first
 * out within a rank. Every 20th request is taken from the second lowest rank present, so that it does not starve.
 */
class WaitingQueue {
public:
    void push(std::uint32_t rank, RequestNumber request);
    /** Returns a request that was taken out to the front of its rank. */
    void pushFront(std::uint32_t rank, RequestNumber request);
    std::optional<RequestNumber> pop();
    void remove(RequestNumber request);

    std::size_t size() const;
    /** How many requests are ahead of a new request of this rank. */
    std::size_t countAhead(std::uint32_t rank) const;

private:
    std::map<std::uint32_t, std::deque<RequestNumber>> ranks;
    unsigned lowestRankInARow = 0;
};

}
