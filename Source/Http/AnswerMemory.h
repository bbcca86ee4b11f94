#pragma once

#include <cstddef>
#include <unordered_map>

namespace burlreach {

/** Something that holds the bytes of an answer while it is received. */
class AnswerHolder {
public:
    virtual ~AnswerHolder() = default;

    /** True if the server has declared how long the answer is, so that it will end. */
    virtual bool hasDeclaredLength() const = 0;
    /** Drops the answer and its bytes. */
    virtual void dropAnswer() = 0;
};

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

    /** Sets the bytes that this holder holds now; drops answers, perhaps this one, until the sum is within the bound.
     */
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
