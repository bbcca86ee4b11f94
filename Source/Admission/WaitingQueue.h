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
 * Requests that wait for a backend server with room: the lowest rank first,
 * within a rank in the order of arrival. So that the others keep moving, every
 * few places go to the next rank that has somebody waiting.
 */
class WaitingQueue {
public:
    void push(std::uint32_t rank, RequestNumber request);
    /** Puts a request that was taken out back to its front. */
    void pushFront(std::uint32_t rank, RequestNumber request);
    std::optional<RequestNumber> pop();
    void remove(RequestNumber request);

    std::size_t size() const;
    /** How many leave the queue before a new request of this rank. */
    std::size_t ahead(std::uint32_t rank) const;

private:
    std::map<std::uint32_t, std::deque<RequestNumber>> ranks;
    unsigned firstInARow = 0;
};

}
