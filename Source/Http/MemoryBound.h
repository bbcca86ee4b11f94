#pragma once

#include "Http/MemoryHolder.h"

#include <cstddef>
#include <unordered_map>

namespace burlreach {

/**
 * Bounds the bytes that callers and servers make this process hold, on one thread: requests that are being received,
 * requests that wait or are at work, answers that are being received, and answers that callers have not taken yet.
 *
 * While they are too many, holders are dropped: in their order, and of the same order the largest first. What is fixed
 * is never dropped. Small holders can also use a share of the bound that large ones cannot take, so that an ordinary
 * request finds room beside any number of large ones.
 */
class MemoryBound {
public:
    explicit MemoryBound(std::size_t givenMaxBytes)
        : maxBytes(givenMaxBytes)
    {
    }

    /** Sets this holder's bytes; drops holders, perhaps this one, while the sum is above the bound. */
    void set(MemoryHolder& holder, std::size_t bytes);
    /** Forgets a holder; nothing happens if it is unknown. */
    void remove(MemoryHolder& holder);
    void addFixed(std::size_t bytes);
    void removeFixed(std::size_t bytes) { this->sum -= bytes; }
    /** Takes effect when bytes are next added. */
    void setMaxBytes(std::size_t most) { this->maxBytes = most; }
    std::size_t total() const { return this->sum; }
    /** True while more than half of the bound is in use. */
    bool isScarce() const { return this->sum > this->maxBytes / 2; }
    std::size_t dropped() const { return this->droppedCount; }

private:
    void makeRoom();
    /** The holder of at least so many bytes that is dropped next; null if there is none. */
    MemoryHolder* choose(std::size_t leastBytes) const;

    std::size_t maxBytes;
    std::size_t sum = 0;
    std::size_t droppedCount = 0;
    std::unordered_map<MemoryHolder*, std::size_t> held;
};

}
