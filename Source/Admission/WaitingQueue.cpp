#include "Admission/WaitingQueue.h"

#include <algorithm>
#include <iterator>

namespace burlreach {

namespace {

/** After this many requests of the lowest rank, one of the next rank is taken. */
constexpr unsigned MaxLowestRankInARow = 19;

}

void WaitingQueue::push(std::uint32_t rank, RequestNumber request)
{
    this->ranks[rank].push_back(request);
}

void WaitingQueue::pushFront(std::uint32_t rank, RequestNumber request)
{
    this->ranks[rank].push_front(request);
}

std::optional<RequestNumber> WaitingQueue::pop()
{
    if (this->ranks.empty())
        return std::nullopt;
    auto taken = this->ranks.begin();
    const bool isTurnOfNextRank = ++this->lowestRankInARow > MaxLowestRankInARow && this->ranks.size() > 1;
    if (isTurnOfNextRank)
        taken = std::next(taken);
    if (isTurnOfNextRank || this->ranks.size() == 1)
        this->lowestRankInARow = 0;
    const RequestNumber request = taken->second.front();
    taken->second.pop_front();
    if (taken->second.empty())
        this->ranks.erase(taken);
    return request;
}

void WaitingQueue::remove(RequestNumber request)
{
    for (auto& [rank, waiting] : this->ranks)
        std::erase(waiting, request);
    std::erase_if(this->ranks, [](const auto& item) { return item.second.empty(); });
}

std::size_t WaitingQueue::size() const
{
    std::size_t sum = 0;
    for (const auto& [rank, waiting] : this->ranks)
        sum += waiting.size();
    return sum;
}

std::size_t WaitingQueue::countAhead(std::uint32_t rank) const
{
    std::size_t sum = 0;
    for (auto item = this->ranks.begin(); item != this->ranks.end() && item->first <= rank; ++item)
        sum += item->second.size();
    return sum;
}

}
