#include "Membership/PullCollector.h"

#include <algorithm>
#include <bit>
#include <map>
#include <tuple>
#include <utility>

namespace burlreach {

namespace {

/**
 * Equal for instances that are about equally far behind, so that none is sent more than about twice the changes that it
 * misses. Those that have nothing are sent everything.
 */
int distanceClass(StoreRevision since, StoreRevision current)
{
    constexpr int everything = -1;
    return since ? static_cast<int>(std::bit_width(current - std::min(since, current))) : everything;
}

}

PullCollector::PullCollector(Options givenOptions)
    : options(givenOptions)
{
}

void PullCollector::add(const KnownMember& asker, const peers::Pull& pull, Milliseconds now)
{
    const std::string& name = asker.member.incarnation().name();
    std::erase_if(
        this->pending, [&](const PendingPull& item) { return item.asker.member.incarnation().name() == name; });
    this->pending.push_back(
        { .asker = asker, .since = pull.store_revision(), .byThemselves = pull.by_themselves(), .receivedAt = now });
}

std::vector<PullGroup> PullCollector::takeDue(StoreRevision current, Milliseconds now)
{
    if (now < this->nextDue())
        return {};
    std::map<std::tuple<int, bool>, PullGroup> groups;
    for (const PendingPull& pull : std::exchange(this->pending, {})) {
        if (now - pull.receivedAt >= this->options.timeout)
            continue;
        PullGroup& group = groups[{ distanceClass(pull.since, current), pull.byThemselves }];
        group.since = group.askers.empty() ? pull.since : std::min(group.since, pull.since);
        group.byThemselves = pull.byThemselves;
        group.askers.push_back(pull.asker);
    }
    std::vector<PullGroup> due;
    due.reserve(groups.size());
    for (auto& [kind, group] : groups)
        due.push_back(std::move(group));
    if (!due.empty())
        this->lastAnswerAt = now;
    return due;
}

Milliseconds PullCollector::nextDue() const
{
    return this->pending.empty() ? Never : this->lastAnswerAt + this->options.interval;
}

}
