#include "Program/AllocatorSettings.h"

#include <malloc.h>

namespace burlreach {

namespace {

/** Larger blocks are mapped one by one. Above what requests usually need, so that they cost no system calls. */
constexpr int MappedBlockBytes = 262144;
/** Free memory at the end of the heap that is kept; the default, once the size above is set, would be half of it. */
constexpr int KeptHeapBytes = 4194304;

}

void releaseLargeBlocksAtOnce()
{
    mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, KeptHeapBytes);
}

}
