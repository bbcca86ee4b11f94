#include "Rollouts/FleetEvidence.h"

#include <algorithm>

namespace burlreach {

namespace {

double shareOfBad(const AnswerCounts& answers)
{
    return answers.all ? static_cast<double>(answers.bad) / static_cast<double>(answers.all) : 0;
}

bool hasDecreased(const VersionCounts& left, const VersionCounts& right)
{
    return left.usual.all < right.usual.all || left.usual.bad < right.usual.bad || left.target.all < right.target.all
        || left.target.bad < right.target.bad;
}

}

void FleetEvidence::recordCounts(const std::string& instance, std::uint64_t life, const CountsByRoute& counts)
{
    CountsByRoute& lastReport = this->byInstance[{ instance, life }];
    for (const auto& [route, now] : counts) {
        VersionCounts& known = lastReport[route];
        // An older report that arrived after a newer one.
        if (hasDecreased(now, known))
            continue;
        this->add(route, now - known);
        known = now;
    }
}

void FleetEvidence::add(const std::string& route, const VersionCounts& increase)
{
    Route& evidence = this->routes[route];
    evidence.sum = evidence.sum + increase;
    this->totalCounts = this->totalCounts + increase;
    evidence.test.add(increase.target, shareOfBad(evidence.sum.usual));
    this->test.add(increase.target, shareOfBad(this->totalCounts.usual));
}

bool FleetEvidence::isBad() const
{
    return this->test.isBad() || std::any_of(this->routes.begin(), this->routes.end(), [](const auto& item) {
        return item.second.test.isBad();
    });
}

}
