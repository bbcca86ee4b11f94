#include "Measurement/ProbeScheduler.h"

#include <algorithm>

namespace burlreach {

ProbeScheduler::ProbeScheduler(Options givenOptions)
    : options(givenOptions)
{
}

ProbeScheduler::Entry* ProbeScheduler::find(const ProbeTarget& target)
{
    const auto isSame = [&](const Entry& entry) {
        return entry.target.service == target.service && entry.target.backendServer == target.backendServer;
    };
    const auto found = std::find_if(this->entries.begin(), this->entries.end(), isSame);
    return found == this->entries.end() ? nullptr : &*found;
}

void ProbeScheduler::configure(std::span<const ProbeTarget> targets)
{
    std::vector<Entry> next;
    for (const ProbeTarget& target : targets) {
        const Entry* known = this->find(target);
        Entry entry = known
            ? *known
            : Entry{
                  .target = target, .budget = ProbeBudget(target.budgetPerSecond), .underWay = 0, .lastSent = LongAgo
              };
        entry.target = target;
        entry.budget.setPerSecond(target.budgetPerSecond);
        next.push_back(std::move(entry));
    }
    this->entries = std::move(next);
}

std::vector<Probe> ProbeScheduler::tick(const ProbeAdviser& adviser, Milliseconds now)
{
    std::vector<Probe> probes;
    for (Entry& entry : this->entries) {
        if (entry.underWay || !adviser.mayProbe(entry.target, now) || !entry.budget.hasRoom(now))
            continue;
        // A probe that failed is not repeated faster than a good one.
        if (now - std::max(adviser.loadKnownAt(entry.target), entry.lastSent) < this->options.freshEnough)
            continue;
        entry.underWay = ++this->last;
        entry.lastSent = now;
        entry.budget.started(entry.underWay, now);
        probes.push_back({ .number = entry.underWay,
            .service = entry.target.service,
            .backendServer = entry.target.backendServer,
            .address = entry.target.address,
            .timeout = entry.budget.longestProbe() });
    }
    return probes;
}

const ProbeTarget* ProbeScheduler::ended(ProbeNumber number, Milliseconds took, Milliseconds now)
{
    for (Entry& entry : this->entries) {
        if (entry.underWay != number)
            continue;
        entry.underWay = 0;
        entry.budget.ended(number, took, now);
        return &entry.target;
    }
    return nullptr;
}

}
