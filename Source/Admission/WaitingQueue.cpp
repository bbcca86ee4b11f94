#include "Admission/WaitingQueue.h"

#include <algorithm>
#include <iterator>

namespace burlreach {

namespace {

/** After this many requests of the lowest rank, one of the next rank is taken. */
constexpr unsigned MaxLowestRankInARow = 19;

}

WaitingQueue::Turns::iterator WaitingQueue::find(Turns& turns, std::string_view customer)
{
    return std::find_if(
        turns.begin(), turns.end(), [&](const CustomerQueue& item) { return item.customer == customer; });
}

void WaitingQueue::push(std::uint32_t rank, std::string_view customer, RequestNumber request)
{
    Turns& turns = this->ranks[rank];
    auto found = find(turns, customer);
    if (found == turns.end())
        found = turns.insert(found, { .customer = std::string(customer), .requests = {} });
    found->requests.push_back(request);
}

void WaitingQueue::pushFront(std::uint32_t rank, std::string_view customer, RequestNumber request)
{
    Turns& turns = this->ranks[rank];
    auto found = find(turns, customer);
    if (found == turns.end())
        found = turns.insert(found, { .customer = std::string(customer), .requests = {} });
    found->requests.push_front(request);
    turns.splice(turns.begin(), turns, found);
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
    Turns& turns = taken->second;
    std::deque<RequestNumber>& requests = turns.front().requests;
    const RequestNumber request = requests.front();
    requests.pop_front();
    if (requests.empty())
        turns.pop_front();
    else
        turns.splice(turns.end(), turns, turns.begin());
    if (turns.empty())
        this->ranks.erase(taken);
    return request;
}

void WaitingQueue::remove(RequestNumber request)
{
    for (auto& [rank, turns] : this->ranks) {
        for (CustomerQueue& item : turns)
            std::erase(item.requests, request);
        std::erase_if(turns, [](const CustomerQueue& item) { return item.requests.empty(); });
    }
    std::erase_if(this->ranks, [](const auto& item) { return item.second.empty(); });
}

std::size_t WaitingQueue::size() const
{
    std::size_t sum = 0;
    for (const auto& [rank, turns] : this->ranks) {
        for (const CustomerQueue& item : turns)
            sum += item.requests.size();
    }
    return sum;
}

std::size_t WaitingQueue::countAhead(std::uint32_t rank) const
{
    std::size_t sum = 0;
    for (auto found = this->ranks.begin(); found != this->ranks.end() && found->first <= rank; ++found) {
        for (const CustomerQueue& item : found->second)
            sum += item.requests.size();
    }
    return sum;
}

std::size_t WaitingQueue::countAhead(std::uint32_t rank, std::string_view customer) const
{
    std::size_t sum = rank ? this->countAhead(rank - 1) : 0;
    const auto found = this->ranks.find(rank);
    if (found == this->ranks.end())
        return sum;
    const Turns& turns = found->second;
    const auto own = std::find_if(
        turns.begin(), turns.end(), [&](const CustomerQueue& item) { return item.customer == customer; });
    const std::size_t ownCount = own == turns.end() ? 0 : own->requests.size();
    // The new request is taken in its customer's turn number ownCount + 1. Customers whose turn comes first have had as
    // many turns by then, the others one less.
    std::size_t turnsBefore = ownCount + 1;
    for (auto item = turns.begin(); item != turns.end(); ++item) {
        if (item == own)
            turnsBefore = ownCount;
        sum += std::min(item->requests.size(), turnsBefore);
    }
    return sum;
}

}
