#pragma once

#include "Benchmarks/Contender.h"
#include "Tests/Virtual/VirtualFleet.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace burlreach {

/** What happens in a run of the policy benchmark. */
enum class Disturbance {
    Steady,
    NoisyNeighbours, // a quarter of the servers is five times slower, drawn anew every 150 ms
    SlowServer,
    FailingServer,
    FrozenReport, // a server that is five times slower tells that it is idle and fast
    Drain, // an operator drains two servers
    DataCentreLost, // its servers say nothing any more
    MorningRush, // three times the requests for a second
    Overload, // half as much again as the servers can do
    CrowdedRush, // long work on servers that are slow when crowded, and a rush; who is refused comes back
    CrowdedOutage, // the same servers; all instances are gone for a while
    CrowdedLoss, // the same servers at half load; four of ten say nothing any more
    CrowdedOverload, // the same servers, half as much again as they can do
    ManyInstances, // hundreds with few requests each, counted from the very first one
    SlowSpells, // two slots each; a request that begins in a server's slow moment is late for certain
    Count
};

std::string_view nameOf(Disturbance disturbance);

/** The figures of one run. */
struct RunFigures {
    std::vector<double> milliseconds; // of answered callers, from their first tries
    std::size_t sent = 0; // callers
    std::size_t inTime = 0;
    double worstInTime = 1; // the smallest share within two seconds
    double arrivalsPerRequest = 0; // at backend servers
    double probesPerRequest = 0;
};

/** The fleet and its load in one case. */
struct PolicyScene {
    std::size_t instances = 6;
    std::size_t servers = 10;
    std::size_t slots = 3;
    Milliseconds work{ 60 };
    double kneeUse = 1; // of a server's slots; with more taken work is slower there
    double kneeFactor = 1;
    double load = 0.3; // of what the servers can do
    double rush = 3; // times the load, for a morning rush
    Milliseconds rushSpan{ 1000 };
    Milliseconds target{ 200 };
    Milliseconds timeLeft{ 1000 };
    unsigned returns = 0; // times that a caller comes back after a refusal or a cut
    bool isNoisy = false;
    bool isFromFirst = false; // no request goes before those that are counted
    bool isCrowded = false; // requests feel it at once when their server becomes slower
};

/** Instances before backend servers, in virtual time: one case, one contender, one seed. */
class PolicyRun {
public:
    PolicyRun(Disturbance disturbance, const Contender& contender, std::uint64_t seed);

    RunFigures run();

private:
    /** A caller from its first try on. */
    struct Wish {
        Milliseconds firstSentAt;
        Milliseconds answeredAt = Never;
        unsigned tries = 0;
    };

    void changeNoise();
    void disturb();
    void drainTwo();
    void rush();
    void loseAllInstances();
    v1::Configuration configuration(std::uint32_t revision) const;
    void arrive();
    void attempt(std::size_t wish);
    void callerEnded(const VirtualCaller& caller);
    RunFigures figures() const;

    Disturbance disturbance;
    PolicyScene scene;
    Random random;
    VirtualFleet fleet;
    double requestsPerSecond;
    std::size_t turn = 0;
    std::vector<Wish> wishes;
    std::map<std::uint64_t, std::size_t> wishOfCaller;
};

}
