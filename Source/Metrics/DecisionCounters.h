#pragma once

#include "Metrics/Reasons.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace burlreach {

/** Counters of one instance's decisions, one for each reason and kind. */
class DecisionCounters {
public:
    void add(RefusalReason reason) { ++this->refusals[static_cast<std::size_t>(reason)]; }
    void add(RetryReason reason) { ++this->retries[static_cast<std::size_t>(reason)]; }
    void add(DecisionCount count, std::uint64_t more = 1) { this->counts[static_cast<std::size_t>(count)] += more; }

    std::uint64_t value(RefusalReason reason) const { return this->refusals[static_cast<std::size_t>(reason)]; }
    std::uint64_t value(RetryReason reason) const { return this->retries[static_cast<std::size_t>(reason)]; }
    std::uint64_t value(DecisionCount count) const { return this->counts[static_cast<std::size_t>(count)]; }

private:
    std::array<std::uint64_t, static_cast<std::size_t>(RefusalReason::Count)> refusals{};
    std::array<std::uint64_t, static_cast<std::size_t>(RetryReason::Count)> retries{};
    std::array<std::uint64_t, static_cast<std::size_t>(DecisionCount::Count)> counts{};
};

}
