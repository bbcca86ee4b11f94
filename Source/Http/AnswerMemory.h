#pragma once

#include "Http/AnswerHolder.h"

#include <cstddef>
#include <unordered_map>

namespace burlreach {

/**
 * Bounds the bytes of all answers that are being received on one thread. When
 * they are too many, the largest answer is dropped, and one without a declared
 * length before all others, which may have no end.
 */
class AnswerMemory {
public:
    explicit AnswerMemory(std::size_t givenMaxBytes)
        : maxBytes(givenMaxBytes)
    {
    }

    /** Sets this holder's bytes; drops answers, perhaps its own, while the sum is above the bound. */
    void set(AnswerHolder& holder, std::size_t bytes);
    /** Forgets a holder; nothing happens if it is unknown. */
    void remove(AnswerHolder& holder);
    std::size_t total() const { return this->sum; }

private:
    AnswerHolder* choose() const;

    std::size_t maxBytes;
    std::size_t sum = 0;
    std::unordered_map<AnswerHolder*, std::size_t> held;
};

}
