#pragma once

#include "Base/Milliseconds.h"
#include "Base/NetworkAddress.h"
#include "Measurement/ProbeBudget.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace burlreach {

using ProbeNumber = std::uint64_t;

/** A backend server that may be probed. */
struct ProbeTarget {
    std::string service;
    std::string backendServer;
    NetworkAddress address;
    std::size_t slot = 0; // whose primary probes it
    Milliseconds budgetPerSecond;
};

/** A probe to be sent now, and cancelled after its timeout. */
struct Probe {
    ProbeNumber number = 0;
    std::string service;
    std::string backendServer;
    NetworkAddress address;
    Milliseconds timeout;
};

/** Answers what the scheduler must know of a target before it probes it. */
class ProbeAdviser {
public:
    virtual ~ProbeAdviser() = default;
    virtual bool mayProbe(const ProbeTarget& target, Milliseconds now) const = 0;
    /** When the load of the target was last known from any source. */
    virtual Milliseconds loadKnownAt(const ProbeTarget& target) const = 0;
};

/**
 * Spends the measuring budget where load figures are oldest. Figures that come
 * with answers or from other instances cost nothing and make probes needless.
 */
class ProbeScheduler {
public:
    struct Options {
        Milliseconds freshEnough{ 200 };
    };

    explicit ProbeScheduler(Options options);

    void configure(std::span<const ProbeTarget> targets);
    std::vector<Probe> tick(const ProbeAdviser& adviser, Milliseconds now);
    /** The target of a probe that ended, or null when it is no longer one. */
    const ProbeTarget* ended(ProbeNumber number, Milliseconds took, Milliseconds now);

private:
    struct Entry {
        ProbeTarget target;
        ProbeBudget budget;
        ProbeNumber underWay = 0;
        Milliseconds lastSent = LongAgo;
    };

    Entry* find(const ProbeTarget& target);

    Options options;
    std::vector<Entry> entries;
    ProbeNumber last = 0;
};

}
