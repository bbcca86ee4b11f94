#pragma once

#include "Base/Milliseconds.h"
#include "configuration.pb.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace burlreach {

using RequestNumber = std::uint64_t;

/** A request that waits for a backend server with room. */
struct WaitingRequest {
    RequestNumber request = 0;
    Milliseconds deadline;
};

/**
 * Requests that wait, those of the first priority ahead. To keep the others
 * moving, every fiftieth place goes to one that can wait.
 */
class WaitingQueue {
public:
    void push(v1::Priority priority, WaitingRequest waiting);
    std::optional<WaitingRequest> pop();
    void remove(RequestNumber request);
    /** Takes out the requests whose deadline has come. */
    std::vector<RequestNumber> takeExpired(Milliseconds now);

    std::size_t size() const;
    /** How many leave the queue before a new request of this priority. */
    std::size_t ahead(v1::Priority priority) const;

private:
    using Lane = std::deque<WaitingRequest>;
    static constexpr std::size_t LaneCount = 2;

    Lane& lane(v1::Priority priority);
    static std::optional<WaitingRequest> popFrom(Lane& lane);

    std::array<Lane, LaneCount> lanes;
    unsigned firstInARow = 0;
};

}
