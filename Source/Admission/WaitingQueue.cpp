#include "Admission/WaitingQueue.h"

#include <algorithm>

namespace burlreach {

namespace {

constexpr std::size_t FirstLane = 0;
constexpr std::size_t CanWaitLane = 1;
constexpr unsigned FirstPlacesInARow = 49;

}

WaitingQueue::Lane& WaitingQueue::lane(v1::Priority priority)
{
    return this->lanes[priority == v1::CAN_WAIT ? CanWaitLane : FirstLane];
}

void WaitingQueue::push(v1::Priority priority, WaitingRequest waiting)
{
    this->lane(priority).push_back(waiting);
}

std::optional<WaitingRequest> WaitingQueue::popFrom(Lane& lane)
{
    if (lane.empty())
        return std::nullopt;
    const WaitingRequest waiting = lane.front();
    lane.pop_front();
    return waiting;
}

std::optional<WaitingRequest> WaitingQueue::pop()
{
    Lane& first = this->lanes[FirstLane];
    Lane& canWait = this->lanes[CanWaitLane];
    const bool isTurnOfOthers = this->firstInARow >= FirstPlacesInARow && !canWait.empty();
    if (first.empty() || isTurnOfOthers) {
        this->firstInARow = 0;
        return popFrom(canWait);
    }
    ++this->firstInARow;
    return popFrom(first);
}

void WaitingQueue::remove(RequestNumber request)
{
    for (Lane& item : this->lanes)
        std::erase_if(item, [request](const WaitingRequest& waiting) { return waiting.request == request; });
}

std::vector<RequestNumber> WaitingQueue::takeExpired(Milliseconds now)
{
    std::vector<RequestNumber> expired;
    const auto isExpired = [&](const WaitingRequest& waiting) {
        if (waiting.deadline > now)
            return false;
        expired.push_back(waiting.request);
        return true;
    };
    for (Lane& item : this->lanes)
        std::erase_if(item, isExpired);
    return expired;
}

std::size_t WaitingQueue::size() const
{
    std::size_t sum = 0;
    for (const Lane& item : this->lanes)
        sum += item.size();
    return sum;
}

std::size_t WaitingQueue::ahead(v1::Priority priority) const
{
    return priority == v1::CAN_WAIT ? this->size() : this->lanes[FirstLane].size();
}

}
