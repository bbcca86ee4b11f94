#pragma once

namespace burlreach {

/** When a holder of bytes gives way to others, from last to first. */
enum class DropOrder {
    Last, // a caller has taken part of it, or whole requests depend on it
    Late, // it will end
    Usual,
    Early // it makes no progress
};

/** Something that holds bytes of callers or servers for a time, and can drop them. */
class MemoryHolder {
public:
    virtual ~MemoryHolder() = default;

    virtual DropOrder dropOrder() const = 0;
    /** Drops the bytes. MemoryBound has forgotten the holder before. */
    virtual void dropBytes() = 0;
};

}
