#pragma once

#include "Benchmarks/Case.h"
#include "Benchmarks/Policies.h"
#include "Tests/Virtual/VirtualFleet.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace burlreach {

/** What became of the requests of one kind. */
struct KindResult {
    std::vector<double> milliseconds; // of answered requests
    std::size_t sent = 0;
    std::size_t inTime = 0;
};

/** The figures of one run. */
struct RunResult {
    std::array<KindResult, static_cast<std::size_t>(RequestKind::Count)> kinds;
    std::map<std::string, std::size_t> refusals;
    double extraPerFirst = 0; // retries and hedges per first attempt
    double goodput = 0; // work answered in time, as a share of capacity
    double probeMilliseconds = 0; // per backend server and second
    double innerBytes = 0; // per node and second
};

/**
 * Three nodes, ten backend servers of three slots in four data centres, half
 * of the load from elsewhere, in virtual time: one case, one contender, one
 * seed. Figures are taken from the beginning of the disturbance on.
 */
class PolicyRun {
public:
    PolicyRun(Disturbance disturbance, const Contender& contender, std::uint64_t seed);

    RunResult run();

private:
    void disturb();
    void arrive();
    void arriveElsewhere();
    void send(RequestKind kind);
    RequestKind chooseKind();
    Milliseconds gap();
    Milliseconds cost(const KindDescription& description);
    bool isMeasured() const;
    void finish();

    Disturbance disturbance;
    VirtualFleet fleet;
    double load; // share of capacity
    double searchFactor = 1;
    std::size_t turn = 0;
    double usefulWork = 0; // slot milliseconds of answers in time
    RunResult result;
};

}
