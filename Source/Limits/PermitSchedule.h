#pragma once

#include "Attempts/SlidingCount.h"
#include "Base/Milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace burlreach {

/** A permit expires this long after it becomes valid. */
inline constexpr Milliseconds PermitLife{ 250 };

/**
 * Schedules the permits for all backend servers with a limit, on the instance that grants them. The permits of a server
 * become valid one after the other, at the interval given by its limit. Unused intervals are not saved, so that in any
 * period at most one permit more becomes valid than the limit allows.
 */
class PermitSchedule {
public:
    struct PermitRequest {
        std::string backendServer;
        std::uint64_t life = 0;
        double perSecond = 0;
        Milliseconds patience; // maximum time that the request can wait for the permit
    };

    struct Grant {
        bool isGranted = false;
        Milliseconds wait; // until the permit is valid; if denied: until it is worth asking again
    };

    Grant grant(const PermitRequest& wish, Milliseconds now);

private:
    struct ServerState {
        std::uint64_t life = 0;
        Milliseconds latest = LongAgo; // when the last granted permit becomes or became valid
        SlidingCount denied{ Second };
    };

    void dropOld(Milliseconds now);

    std::unordered_map<std::string, ServerState> servers; // by backend server
};

}
