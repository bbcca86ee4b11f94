#pragma once

#include "Attempts/SlidingCount.h"
#include "Base/Milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace burlreach {

/** A permit is used within this time after it becomes valid, or not at all. */
inline constexpr Milliseconds PermitLife{ 250 };

/**
 * The permits of all backend servers with a limit, at the instance that grants
 * them: one after another, as far apart as the limit says. None are saved up,
 * so that in any span of time no more are granted than the limit allows in it,
 * and one.
 */
class PermitSchedule {
public:
    struct Wish {
        std::string backendServer;
        std::uint64_t life = 0;
        double perSecond = 0;
        Milliseconds patience; // of the request that wants it
    };

    struct Grant {
        bool isGranted = false;
        Milliseconds wait; // until the permit is valid; of one that is not granted: until it is worth asking again
    };

    Grant grant(const Wish& wish, Milliseconds now);

private:
    struct Account {
        std::uint64_t life = 0;
        Milliseconds latest = LongAgo; // permit, which may not be valid yet
        SlidingCount denied{ Second };
    };

    void forgetOld(Milliseconds now);

    std::unordered_map<std::string, Account> accounts; // by backend server
};

}
