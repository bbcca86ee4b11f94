#pragma once

#include "Rollouts/AnswerCounts.h"
#include "Rollouts/PageTest.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace burlreach {

/** What instances count of the answers of both versions, by route. */
using CountsByRoute = std::map<std::string, VersionCounts>;

/**
 * Sums what all instances have counted since a roll-out began, and judges it:
 * each route by itself, since a version may be bad on one only, and all together.
 */
class FleetEvidence {
public:
    /** All that a life of an instance has counted so far; more than it told before. */
    void told(const std::string& instance, std::uint64_t life, const CountsByRoute& counts);
    bool isBad() const;
    const VersionCounts& total() const { return this->sum; }

private:
    struct Route {
        VersionCounts sum;
        PageTest test;
    };

    void add(const std::string& route, const VersionCounts& more);

    std::map<std::pair<std::string, std::uint64_t>, CountsByRoute> byInstance; // name and life
    std::map<std::string, Route> routes;
    VersionCounts sum;
    PageTest test;
};

}
