#pragma once

namespace burlreach {

/** When a holder of bytes gives way to others, from last to first. */
enum class DropOrder {
    Late, // it will end, and others wait for it
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
