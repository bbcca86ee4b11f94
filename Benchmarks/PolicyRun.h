#pragma once

#include "Benchmarks/Contender.h"
#include "Tests/Virtual/VirtualFleet.h"

#include <cstddef>
#include <cstdint>
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
    Count
};

std::string_view nameOf(Disturbance disturbance);

/** The figures of one run. */
struct RunFigures {
    std::vector<double> milliseconds; // of answered requests
    std::size_t sent = 0;
    std::size_t inTime = 0;
    double arrivalsPerRequest = 0; // at backend servers
    double probesPerRequest = 0;
};

/** Six instances before ten backend servers of three slots, in virtual time: one case, one contender, one seed. */
class PolicyRun {
public:
    PolicyRun(Disturbance disturbance, const Contender& contender, std::uint64_t seed);

    RunFigures run();

private:
    void changeNoise();
    void disturb();
    void drainTwo();
    v1::Configuration configuration(std::uint32_t revision) const;
    void arrive();
    RunFigures figures() const;

    Disturbance disturbance;
    Random random;
    VirtualFleet fleet;
    double requestsPerSecond;
    std::size_t turn = 0;
};

}
