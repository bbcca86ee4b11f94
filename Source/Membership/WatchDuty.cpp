#include "Membership/WatchDuty.h"

#include "Base/Hash.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace burlreach {

namespace {

constexpr std::uint64_t RankSeed = 2;

/** From 0 up to 1. */
double placeOf(std::uint64_t hash)
{
    constexpr int bits = 64;
    return std::ldexp(static_cast<double>(hash), -bits);
}

}

WatchDuty::WatchDuty(Options givenOptions)
    : options(std::move(givenOptions))
    , ownRank(rankOf(this->options.ownName, this->options.ownCapacity))
{
}

WatchDuty::Rank WatchDuty::rankOf(std::string_view name, std::uint32_t capacity)
{
    return { .weakness = ~capacity, .hash = hashOf(name, RankSeed) };
}

WatchDuty::Watcher* WatchDuty::findOrAdd(const peers::Member& member)
{
    const std::string& name = member.incarnation().name();
    if (name == this->options.ownName)
        return nullptr;
    const auto found = std::find_if(this->known.begin(), this->known.end(),
        [&](const Watcher& watcher) { return watcher.member.incarnation().name() == name; });
    if (found == this->known.end()) {
        this->known.push_back({ .member = member, .rank = rankOf(name, member.capacity()) });
        return &this->known.back();
    }
    if (member.incarnation().number() < found->member.incarnation().number())
        return nullptr;
    if (member.incarnation().number() > found->member.incarnation().number())
        found->confirmedAt = LongAgo;
    found->member = member;
    found->rank = rankOf(name, member.capacity());
    return &*found;
}

void WatchDuty::heardWatcher(const peers::Member& member, Milliseconds confirmedAt, Milliseconds now)
{
    Watcher* watcher = this->findOrAdd(member);
    if (!watcher)
        return;
    watcher->confirmedAt = std::max(watcher->confirmedAt, confirmedAt);
    watcher->knownAt = now;
}

bool WatchDuty::knows(const peers::Incarnation& watcher) const
{
    return std::any_of(this->known.begin(), this->known.end(), [&](const Watcher& item) {
        return item.member.incarnation().name() == watcher.name()
            && item.member.incarnation().number() == watcher.number();
    });
}

void WatchDuty::toldOfWatcher(const peers::Member& member, Milliseconds now)
{
    if (Watcher* watcher = this->findOrAdd(member))
        watcher->knownAt = now;
}

bool WatchDuty::isActive(const Watcher& watcher, Milliseconds now) const
{
    return now - watcher.confirmedAt <= this->options.remembered;
}

std::size_t WatchDuty::activePeers(Milliseconds now) const
{
    return static_cast<std::size_t>(std::count_if(this->known.begin(), this->known.end(), [&](const Watcher& watcher) {
        return watcher.rank.weakness <= this->ownRank.weakness && this->isActive(watcher, now);
    }));
}

std::size_t WatchDuty::activeOthersBelow(Milliseconds now) const
{
    return static_cast<std::size_t>(std::count_if(this->known.begin(), this->known.end(),
        [&](const Watcher& watcher) { return watcher.rank < this->ownRank && this->isActive(watcher, now); }));
}

Milliseconds WatchDuty::volunteerDelay() const
{
    return this->options.volunteerSpread * placeOf(this->ownRank.hash);
}

Milliseconds WatchDuty::stalenessBound() const
{
    return this->options.staleAfter + this->options.staleSpread * placeOf(this->ownRank.hash);
}

bool WatchDuty::isStale(Milliseconds confirmedAt, Milliseconds now) const
{
    // Not as a difference: its rounding could deny the moment that nextChange() gives.
    return now >= confirmedAt + this->stalenessBound();
}

bool WatchDuty::shouldWatch(bool isWatching, Milliseconds confirmedAt, Milliseconds now)
{
    std::erase_if(
        this->known, [&](const Watcher& watcher) { return now - watcher.knownAt > this->options.remembered; });
    const bool isVacant = this->activePeers(now) < this->options.wanted;
    if (!isVacant)
        this->vacantSince = Never;
    else if (this->vacantSince == Never)
        this->vacantSince = now;
    if (this->isStale(confirmedAt, now))
        return true;
    if (isWatching)
        return this->activeOthersBelow(now) < this->options.wanted;
    return isVacant && now >= this->vacantSince + this->volunteerDelay();
}

Milliseconds WatchDuty::nextChange(Milliseconds confirmedAt) const
{
    const Milliseconds staleAt = confirmedAt + this->stalenessBound();
    if (this->vacantSince == Never)
        return staleAt;
    return std::min(staleAt, this->vacantSince + this->volunteerDelay());
}

bool WatchDuty::leads(Milliseconds now) const
{
    return !this->activeOthersBelow(now);
}

std::vector<const WatchDuty::Watcher*> WatchDuty::ranked(Milliseconds now) const
{
    std::vector<const Watcher*> found;
    for (const Watcher& watcher : this->known) {
        if (now - watcher.knownAt <= this->options.remembered)
            found.push_back(&watcher);
    }
    std::sort(found.begin(), found.end(), [&](const Watcher* left, const Watcher* right) {
        return std::tuple(!this->isActive(*left, now), left->rank)
            < std::tuple(!this->isActive(*right, now), right->rank);
    });
    return found;
}

std::vector<peers::Member> WatchDuty::watchers(Milliseconds now) const
{
    std::vector<peers::Member> found;
    Rank last{ .weakness = ~0U, .hash = ~0ULL };
    std::size_t heard = 0;
    std::size_t unheard = 0;
    for (const Watcher* watcher : this->ranked(now)) {
        const bool isHeard = this->isActive(*watcher, now);
        std::size_t& count = isHeard ? heard : unheard;
        // One that others named is worth a hello when it goes before those that were heard.
        if (count >= this->options.wanted || (!isHeard && heard >= this->options.wanted && last < watcher->rank))
            continue;
        ++count;
        last = isHeard ? watcher->rank : last;
        found.push_back(watcher->member);
    }
    return found;
}

std::vector<peers::Member> WatchDuty::heardWatchers(Milliseconds now) const
{
    std::vector<peers::Member> found;
    for (const Watcher* watcher : this->ranked(now)) {
        if (found.size() < this->options.wanted && this->isActive(*watcher, now))
            found.push_back(watcher->member);
    }
    return found;
}

}
