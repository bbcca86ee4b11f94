#include "Http/MemoryBound.h"

#include <utility>

namespace burlreach {

namespace {

/** In bytes. More than an ordinary request or answer has. */
constexpr std::size_t LargeBytes = 65536;
/** The part of the bound that is kept for smaller holders is one in so many. */
constexpr std::size_t SmallHoldersPart = 8;

}

void MemoryBound::set(MemoryHolder& holder, std::size_t bytes)
{
    std::size_t& known = this->held[&holder];
    const bool isMore = bytes > known;
    this->sum = this->sum - known + bytes;
    known = bytes;
    if (isMore)
        this->makeRoom();
}

void MemoryBound::addFixed(std::size_t bytes)
{
    this->sum += bytes;
    this->makeRoom();
}

void MemoryBound::makeRoom()
{
    const std::size_t boundOfLarge = this->maxBytes - this->maxBytes / SmallHoldersPart;
    while (this->sum > boundOfLarge) {
        MemoryHolder* const chosen = this->choose(this->sum > this->maxBytes ? 0 : LargeBytes);
        if (!chosen)
            return;
        this->remove(*chosen);
        ++this->droppedCount;
        chosen->dropBytes();
    }
}

void MemoryBound::remove(MemoryHolder& holder)
{
    const auto found = this->held.find(&holder);
    if (found == this->held.end())
        return;
    this->sum -= found->second;
    this->held.erase(found);
}

MemoryHolder* MemoryBound::choose(std::size_t leastBytes) const
{
    MemoryHolder* chosen = nullptr;
    std::pair<DropOrder, std::size_t> most;
    for (const auto& [holder, bytes] : this->held) {
        if (bytes < leastBytes)
            continue;
        const std::pair rank(holder->dropOrder(), bytes);
        if (chosen && rank <= most)
            continue;
        chosen = holder;
        most = rank;
    }
    return chosen;
}

}
