#pragma once

#include <cstddef>

namespace burlreach {

/**
 * How many connections each kind of caller may have at once, so that together with those to backend servers and the
 * store they stay within the descriptors of the process.
 */
struct ConnectionLimits {
    std::size_t callers = 0;
    std::size_t peers = 0; // from other instances
    std::size_t relays = 0; // each has a second connection, to a server
    std::size_t readiness = 0;
};

/** Divides these descriptors; 0: those that the process may open. */
ConnectionLimits connectionLimits(std::size_t descriptors);

}
