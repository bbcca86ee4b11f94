#pragma once

#include <cstddef>
#include <memory>
#include <new>
#include <sys/mman.h>

namespace burlreach {

/**
 * Maps large blocks one by one, so that their memory returns to the system at once when they are freed. On the heap
 * they would leave gaps that other blocks do not fill: bodies of many callers grow in turn, and some of them are
 * dropped.
 */
template <typename Value>
class BlockAllocator {
public:
    using value_type = Value;

    BlockAllocator() = default;
    template <typename Other>
    explicit(false) BlockAllocator(const BlockAllocator<Other>&)
    {
    }

    Value* allocate(std::size_t count)
    {
        const std::size_t bytes = count * sizeof(Value);
        if (bytes < LeastMappedBytes)
            return std::allocator<Value>().allocate(count);
        void* const block = mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
        if (block == MAP_FAILED)
            throw std::bad_alloc();
        return static_cast<Value*>(block);
    }

    void deallocate(Value* block, std::size_t count)
    {
        const std::size_t bytes = count * sizeof(Value);
        if (bytes < LeastMappedBytes)
            std::allocator<Value>().deallocate(block, count);
        else
            munmap(block, bytes);
    }

    bool operator==(const BlockAllocator&) const = default;

private:
    /** Larger than the bodies of ordinary requests and answers, which need no system calls. */
    static constexpr std::size_t LeastMappedBytes = 32768;
};

}
