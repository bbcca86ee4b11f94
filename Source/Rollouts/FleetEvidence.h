#pragma once

#include "Rollouts/AnswerCounts.h"
#include "Rollouts/CusumDetector.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace burlreach {

/** Counts of the answers of both versions, by route. */
using CountsByRoute = std::map<std::string, VersionCounts>;

/**
 * Sums the counts of all instances since a roll-out began, and tests whether the target version is worse than the
 * usual one: on each route, since a version may be bad on one route only, and on all routes together.
 */
class FleetEvidence {
public:
    /** Takes a report of one life of an instance: its totals so far. Reports older than the last are ignored. */
    void recordCounts(const std::string& instance, std::uint64_t life, const CountsByRoute& counts);
    bool isBad() const;
    const VersionCounts& total() const { return this->totalCounts; }

private:
    struct Route {
        VersionCounts sum;
        CusumDetector test;
    };

    void add(const std::string& route, const VersionCounts& more);

    std::map<std::pair<std::string, std::uint64_t>, CountsByRoute> byInstance; // last totals, by name and life
    std::map<std::string, Route> routes; // by name
    VersionCounts totalCounts;
    CusumDetector test;
};

}
