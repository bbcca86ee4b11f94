#include "Membership/WatcherSelection.h"

#include "Base/Hash.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace burlreach {

namespace {

constexpr std::uint64_t RankSeed = 2;
/**
 * Turns use another hash than ranks: the instances of the lowest rank are the watchers, so with the same hash they
 * would have the first turns as well. In 300 simulated fleets of 13 instances in which the store refuses only the
 * watchers, no other instance called it within 1.9 s of its last answer in 3 fleets. With the hash of the rank and
 * a whole first round it was 175 fleets.
 */
constexpr std::uint64_t TurnSeed = 3;
/**
 * The share of a round within which every instance has its first turn. The first round is shorter because no instance
 * knows yet whether the store still serves some of them.
 */
constexpr double FirstRound = 0.5;

/** Maps a hash to a number from 0 up to, but not including, 1. */
double unitIntervalOf(std::uint64_t hash)
{
    constexpr int bits = 64;
    return std::ldexp(static_cast<double>(hash), -bits);
}

}

WatcherSelection::WatcherSelection(Options givenOptions)
    : options(std::move(givenOptions))
    , ownRank(rankOf(this->options.ownName, this->options.ownCapacity))
{
}

WatcherSelection::Rank WatcherSelection::rankOf(std::string_view name, std::uint32_t capacity)
{
    return { .invertedCapacity = ~capacity, .hash = hashOf(name, RankSeed) };
}

WatcherSelection::Watcher* WatcherSelection::findOrAdd(const peers::Member& member)
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

void WatcherSelection::recordWatcherMessage(const peers::Member& member, Milliseconds confirmedAt, Milliseconds now)
{
    Watcher* watcher = this->findOrAdd(member);
    if (!watcher)
        return;
    watcher->confirmedAt = std::max(watcher->confirmedAt, confirmedAt);
    watcher->lastNamedAt = now;
    watcher->updatedAt = now;
}

bool WatcherSelection::knows(const peers::Incarnation& watcher) const
{
    return std::any_of(this->known.begin(), this->known.end(), [&](const Watcher& item) {
        return item.member.incarnation().name() == watcher.name()
            && item.member.incarnation().number() == watcher.number();
    });
}

void WatcherSelection::recordNamedWatcher(const peers::Member& member, Milliseconds now)
{
    if (Watcher* watcher = this->findOrAdd(member))
        watcher->lastNamedAt = now;
}

bool WatcherSelection::isActive(const Watcher& watcher, Milliseconds now) const
{
    return now - watcher.confirmedAt <= this->options.expireAfter;
}

bool WatcherSelection::isCalling(const Watcher& watcher, Milliseconds now) const
{
    // The same bound as for the age of knowledge, so that a watcher that ended is noticed no later than the lack of its
    // updates.
    return now < watcher.updatedAt + this->options.staleAfter;
}

Milliseconds WatcherSelection::othersUnansweredUntil(Milliseconds now) const
{
    // Its updates do not arrive complete, or the knowledge of this instance would be fresh.
    if (now < this->freshUntil())
        return LongAgo;
    Milliseconds until = LongAgo;
    for (const Watcher& watcher : this->known)
        until = std::max(until, watcher.updatedAt + this->options.staleAfter);
    return until;
}

Milliseconds WatcherSelection::freshUntil() const
{
    Milliseconds until = LongAgo;
    for (const Watcher& watcher : this->known)
        until = std::max(until, watcher.confirmedAt + this->options.staleAfter);
    return until;
}

Milliseconds WatcherSelection::behindUntil(Milliseconds confirmedAt) const
{
    return confirmedAt + this->options.behindAfter + this->options.behindSpread * unitIntervalOf(this->ownRank.hash);
}

std::size_t WatcherSelection::countComparableWatchers(Milliseconds now) const
{
    return static_cast<std::size_t>(std::count_if(this->known.begin(), this->known.end(), [&](const Watcher& watcher) {
        const bool isWatcher = this->isActive(watcher, now) || this->isCalling(watcher, now);
        return watcher.rank.invertedCapacity <= this->ownRank.invertedCapacity && isWatcher;
    }));
}

std::size_t WatcherSelection::countCallingBelow(Milliseconds now) const
{
    return static_cast<std::size_t>(std::count_if(this->known.begin(), this->known.end(),
        [&](const Watcher& watcher) { return watcher.rank < this->ownRank && this->isCalling(watcher, now); }));
}

std::size_t WatcherSelection::countActiveBelow(Milliseconds now) const
{
    return static_cast<std::size_t>(std::count_if(this->known.begin(), this->known.end(),
        [&](const Watcher& watcher) { return watcher.rank < this->ownRank && this->isActive(watcher, now); }));
}

Milliseconds WatcherSelection::volunteerDelay() const
{
    return this->options.volunteerSpread * unitIntervalOf(this->ownRank.hash);
}

Milliseconds WatcherSelection::stalenessBound() const
{
    return this->options.staleAfter + this->options.staleSpread * unitIntervalOf(this->ownRank.hash);
}

bool WatcherSelection::isStale(Milliseconds confirmedAt, Milliseconds now) const
{
    // Compares with a sum: the rounding of a difference could make this false at the time that nextChange() returned.
    return now >= confirmedAt + this->stalenessBound();
}

bool WatcherSelection::shouldCallStore(
    bool isWatching, Milliseconds confirmedAt, std::size_t instances, Milliseconds now)
{
    const Milliseconds deferred = std::min(this->freshUntil(), this->behindUntil(confirmedAt));
    if (!isWatching && now < deferred) {
        this->deferredUntil = deferred;
        return false;
    }
    const Milliseconds until = this->othersUnansweredUntil(now);
    const bool isOneOfFew = isWatching && this->countCallingBelow(now) < this->options.wantedWatchers;
    if (now >= until || isOneOfFew) {
        this->nextTurn = Never;
        return true;
    }
    const Milliseconds round
        = std::max(Second * (static_cast<double>(instances) / this->options.turnsPerSecond), this->options.staleAfter);
    if (this->nextTurn == Never)
        this->nextTurn = now + round * FirstRound * unitIntervalOf(hashOf(this->options.ownName, TurnSeed));
    if (now >= this->nextTurn) {
        this->nextTurn = now + round;
        // A watch without an answer takes as long as this.
        this->turnEnd = now + this->stalenessBound();
    }
    this->deferredUntil = std::min(this->nextTurn, until);
    return now < this->turnEnd;
}

bool WatcherSelection::shouldWatch(bool isWatching, Milliseconds confirmedAt, std::size_t instances, Milliseconds now)
{
    std::erase_if(
        this->known, [&](const Watcher& watcher) { return now - watcher.lastNamedAt > this->options.expireAfter; });
    const bool isVacant = this->countComparableWatchers(now) < this->options.wantedWatchers;
    if (!isVacant)
        this->vacantSince = Never;
    else if (this->vacantSince == Never)
        this->vacantSince = now;
    const bool shouldVolunteer = isVacant && now >= this->vacantSince + this->volunteerDelay();
    if (this->isStale(confirmedAt, now))
        return this->shouldCallStore(isWatching, confirmedAt, instances, now) || shouldVolunteer;
    this->nextTurn = Never;
    return isWatching ? this->countActiveBelow(now) < this->options.wantedWatchers : shouldVolunteer;
}

Milliseconds WatcherSelection::nextChange(Milliseconds confirmedAt) const
{
    const Milliseconds staleAt = std::max(confirmedAt + this->stalenessBound(), this->deferredUntil);
    if (this->vacantSince == Never)
        return staleAt;
    return std::min(staleAt, this->vacantSince + this->volunteerDelay());
}

bool WatcherSelection::isLeader(Milliseconds now) const
{
    return !this->countActiveBelow(now);
}

std::optional<peers::Member> WatcherSelection::findFirstWatcher(bool isWatching, Milliseconds now) const
{
    const Watcher* first = nullptr;
    for (const Watcher& watcher : this->known) {
        const bool isRecent = now - watcher.updatedAt <= this->options.firstExpireAfter;
        const bool hasLowerRank = !isWatching || watcher.rank < this->ownRank;
        if (isRecent && hasLowerRank && (!first || watcher.rank < first->rank))
            first = &watcher;
    }
    return first ? std::optional(first->member) : std::nullopt;
}

std::vector<const WatcherSelection::Watcher*> WatcherSelection::ranked(Milliseconds now) const
{
    std::vector<const Watcher*> found;
    for (const Watcher& watcher : this->known) {
        if (now - watcher.lastNamedAt <= this->options.expireAfter)
            found.push_back(&watcher);
    }
    std::sort(found.begin(), found.end(), [&](const Watcher* left, const Watcher* right) {
        return std::tuple(!this->isActive(*left, now), left->rank)
            < std::tuple(!this->isActive(*right, now), right->rank);
    });
    return found;
}

std::vector<peers::Member> WatcherSelection::watchers(Milliseconds now) const
{
    std::vector<peers::Member> found;
    Rank last{ .invertedCapacity = ~0U, .hash = ~0ULL };
    std::size_t activeCount = 0;
    std::size_t otherCount = 0;
    for (const Watcher* watcher : this->ranked(now)) {
        const bool isActiveWatcher = this->isActive(*watcher, now);
        std::size_t& count = isActiveWatcher ? activeCount : otherCount;
        // A watcher without recent answers of the store gets a hello only if its rank is lower than that of the last
        // selected active watcher, or if there are too few active ones.
        if (count >= this->options.wantedWatchers
            || (!isActiveWatcher && activeCount >= this->options.wantedWatchers && last < watcher->rank))
            continue;
        ++count;
        last = isActiveWatcher ? watcher->rank : last;
        found.push_back(watcher->member);
    }
    return found;
}

std::vector<peers::Member> WatcherSelection::reportingWatchers(Milliseconds now) const
{
    std::vector<peers::Member> found;
    for (const Watcher* watcher : this->ranked(now)) {
        const bool isReporting = this->isActive(*watcher, now) || this->isCalling(*watcher, now);
        if (found.size() < this->options.wantedWatchers && isReporting)
            found.push_back(watcher->member);
    }
    return found;
}

}
