#pragma once

#include "Tests/FaultMatrix/Fault.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace burlreach {

/** The moment at which faults are injected: the n-th time that the struck instance takes this step. */
struct Step {
    std::string_view name;
    std::size_t occurrence = 1;

    std::string text() const { return std::string(this->name) + "-" + std::to_string(this->occurrence); }
};

std::span<const Step> allSteps();

/**
 * One run of a small fleet under load: one or two faults are injected at a step, a data centre is emptied meanwhile,
 * the faults are healed, and an operator drains a server. run() returns one sentence for each broken guarantee.
 */
class Cell {
public:
    Cell(Step step, std::vector<const Fault*> faults, std::uint64_t seed);

    std::vector<std::string> run();

private:
    void load(Milliseconds span);
    void sendOne();
    void inject();
    void drain();
    void checkServed(std::vector<std::string>& broken) const;
    void checkSettled(std::vector<std::string>& broken);
    bool anyHitsStore() const;
    bool allConfined() const;

    Step step;
    std::vector<const Fault*> faults;
    VirtualFleet fleet;
    std::size_t seen = 0;
    bool injected = false;
    Milliseconds lastsUntil = LongAgo; // end of the faults that end by themselves
    std::size_t turn = 0;
    StoreRevision drainRevision = 0;
    Milliseconds drainedAt = Never;
};

}
