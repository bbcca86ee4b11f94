#pragma once

#include "Benchmarks/Contender.h"
#include "Tests/Virtual/VirtualFleet.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace burlreach {

/** The load or fault in a run of the policy benchmark. */
enum class Disturbance {
    Steady,
    NoisyNeighbours, // a quarter of the servers, chosen at random every 150 ms, is five times slower
    SlowServer,
    FailingServer,
    FrozenReport, // a server that is five times slower keeps reporting that it is idle and fast
    Drain, // an operator drains two servers
    DataCentreLost, // its servers stop responding
    MorningRush, // three times the request rate for one second
    Overload, // 1.5 times the capacity of the servers
    CrowdedRush, // long requests, servers that slow down when nearly full, and a rush; refused callers retry
    CrowdedOutage, // the same servers; all instances are down for a while
    CrowdedLoss, // the same servers at half load; four of ten stop responding
    CrowdedOverload, // the same servers at 1.5 times their capacity
    ManyInstances, // many instances with few requests each, measured from the first request on
    SlowSpells, // two slots each; a request that starts while its server is slow always misses its target
    Count
};

std::string_view nameOf(Disturbance disturbance);

/** The results of one run. */
struct RunFigures {
    std::vector<double> milliseconds; // latencies of answered callers, from their first attempt
    std::size_t sent = 0; // number of callers
    std::size_t inTime = 0;
    double worstInTime = 1; // smallest share in time of any two-second window
    double arrivalsPerRequest = 0; // requests that arrive at backend servers
    double probesPerRequest = 0;
};

/** The fleet and its load in one benchmark case. */
struct PolicyScene {
    std::size_t instances = 6;
    std::size_t servers = 10;
    std::size_t slots = 3;
    Milliseconds work{ 60 };
    double kneeUse = 1; // share of a server's slots; with more of them in use, its requests are slower
    double kneeFactor = 1;
    double load = 0.3; // share of the servers' capacity
    double rush = 3; // factor on the load during a rush
    Milliseconds rushSpan{ 1000 };
    Milliseconds target{ 200 };
    Milliseconds timeLeft{ 1000 };
    unsigned returns = 0; // how often a caller retries after a refusal or a broken connection
    bool isNoisy = false;
    bool isFromFirst = false; // no requests are sent before the measurement starts
    bool isCrowded = false; // requests in progress also become slower when their server does
};

/** Runs one case with one contender and one seed on a fleet in virtual time. */
class PolicyRun {
public:
    PolicyRun(Disturbance disturbance, const Contender& contender, std::uint64_t seed);

    RunFigures run();

private:
    /** A caller, from its first attempt to its answer. */
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
