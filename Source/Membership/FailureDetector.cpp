#include "Membership/FailureDetector.h"

#include <algorithm>

namespace burlreach {

FailureDetector::FailureDetector(Options givenOptions)
    : options(givenOptions)
{
}

void FailureDetector::setSources(std::span<const peers::Member> members, Milliseconds now)
{
    std::vector<Source> next;
    for (const peers::Member& member : members) {
        const auto isSame
            = [&](const Source& source) { return source.incarnation.number() == member.incarnation().number(); };
        const auto known = std::find_if(this->sources.begin(), this->sources.end(), isSame);
        next.push_back(
            { .incarnation = member.incarnation(), .since = known == this->sources.end() ? now : known->since });
    }
    this->sources = std::move(next);
}

void FailureDetector::tick(Milliseconds now)
{
    const bool stoodStill = now > this->lastTick + this->options.ownPause;
    this->lastTick = now;
    if (!stoodStill)
        return;
    for (Source& source : this->sources)
        source.since = now;
}

std::vector<peers::Incarnation> FailureDetector::suspected(const MemberDirectory& directory, Milliseconds now) const
{
    const Milliseconds allowed = this->options.heartbeatInterval * this->options.missedHeartbeats;
    std::vector<peers::Incarnation> found;
    for (const Source& source : this->sources) {
        const Milliseconds heard = std::max(source.since, directory.heardAt(source.incarnation));
        if (now - heard > allowed)
            found.push_back(source.incarnation);
    }
    return found;
}

}
