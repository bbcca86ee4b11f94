#pragma once

#include "Base/Milliseconds.h"
#include "Membership/MemberDirectory.h"
#include "peers.pb.h"

#include <span>
#include <vector>

namespace burlreach {

/**
 * Notices members that should send heartbeats to this one and have fallen
 * silent. After a pause of its own it gives everybody time to be heard again.
 */
class FailureDetector {
public:
    struct Options {
        Milliseconds heartbeatInterval{ 500 };
        double missedHeartbeats = 4;
        Milliseconds ownPause{ 1000 }; // a longer time between two ticks means this process stood still
    };

    explicit FailureDetector(Options options);

    void setSources(std::span<const peers::Member> sources, Milliseconds now);
    void tick(Milliseconds now);
    std::vector<peers::Incarnation> suspected(const MemberDirectory& directory, Milliseconds now) const;

private:
    struct Source {
        peers::Incarnation incarnation;
        Milliseconds since; // silence before this does not count
    };

    Options options;
    std::vector<Source> sources;
    Milliseconds lastTick = Never;
};

}
