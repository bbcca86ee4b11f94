#pragma once

namespace burlreach {

/**
 * Makes the allocator return large blocks to the system as soon as they are freed. By default it keeps up to 64 MiB
 * once blocks of that size were used, and a growing body leaves its earlier blocks behind: answers of 64 MiB in all
 * took 170 MB.
 */
void releaseLargeBlocksAtOnce();

}
