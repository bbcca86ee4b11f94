#include "Membership/WatchDuty.h"

#include "Base/Hash.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace burlreach {

namespace {

constexpr std::uint64_t RankSeed = 2;
/**
 * Turns do not follow from the rank: the lowest ranks watch, and with the same hash the first turns would all be
 * theirs. Of 300 fleets of 13 of which the store turns just the watchers away, nobody else asks within 1.9 s of its
 * last word in 3, and in 175 with the rank's hash and a whole first round.
 */
constexpr std::uint64_t TurnSeed = 3;
/** Of a round, in which all others have had their first turn: nobody knows yet that the store serves some of them. */
constexpr double FirstRound = 0.5;

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
    watcher->toldAt = now;
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

bool WatchDuty::isAsking(const Watcher& watcher, Milliseconds now) const
{
    // As for knowledge: a watcher that ended is missed no later than its news are.
    return now < watcher.toldAt + this->options.staleAfter;
}

Milliseconds WatchDuty::othersAskInVainUntil(Milliseconds now) const
{
    Milliseconds until = LongAgo;
    for (const Watcher& watcher : this->known) {
        // Its news do not come through whole, or knowledge here would be fresh.
        if (now < watcher.confirmedAt + this->options.staleAfter)
            return LongAgo;
        until = std::max(until, watcher.toldAt + this->options.staleAfter);
    }
    return until;
}

std::size_t WatchDuty::peersWithDuty(Milliseconds now) const
{
    return static_cast<std::size_t>(std::count_if(this->known.begin(), this->known.end(), [&](const Watcher& watcher) {
        const bool hasDuty = this->isActive(watcher, now) || this->isAsking(watcher, now);
        return watcher.rank.weakness <= this->ownRank.weakness && hasDuty;
    }));
}

std::size_t WatchDuty::askingOthersBelow(Milliseconds now) const
{
    return static_cast<std::size_t>(std::count_if(this->known.begin(), this->known.end(),
        [&](const Watcher& watcher) { return watcher.rank < this->ownRank && this->isAsking(watcher, now); }));
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

bool WatchDuty::shouldAskItself(bool isWatching, std::size_t instances, Milliseconds now)
{
    const Milliseconds until = this->othersAskInVainUntil(now);
    const bool isOneOfFew = isWatching && this->askingOthersBelow(now) < this->options.wanted;
    if (now >= until || isOneOfFew) {
        this->turnAt = Never;
        return true;
    }
    const Milliseconds round
        = std::max(Second * (static_cast<double>(instances) / this->options.turnsPerSecond), this->options.staleAfter);
    if (this->turnAt == Never)
        this->turnAt = now + round * FirstRound * placeOf(hashOf(this->options.ownName, TurnSeed));
    if (now >= this->turnAt) {
        this->turnAt = now + round;
        // As long as a watch without an answer takes.
        this->turnUntil = now + this->stalenessBound();
    }
    this->leavesItUntil = std::min(this->turnAt, until);
    return now < this->turnUntil;
}

bool WatchDuty::shouldWatch(bool isWatching, Milliseconds confirmedAt, std::size_t instances, Milliseconds now)
{
    std::erase_if(
        this->known, [&](const Watcher& watcher) { return now - watcher.knownAt > this->options.remembered; });
    const bool isVacant = this->peersWithDuty(now) < this->options.wanted;
    if (!isVacant)
        this->vacantSince = Never;
    else if (this->vacantSince == Never)
        this->vacantSince = now;
    const bool volunteers = isVacant && now >= this->vacantSince + this->volunteerDelay();
    if (this->isStale(confirmedAt, now))
        return this->shouldAskItself(isWatching, instances, now) || volunteers;
    this->turnAt = Never;
    return isWatching ? this->activeOthersBelow(now) < this->options.wanted : volunteers;
}

Milliseconds WatchDuty::nextChange(Milliseconds confirmedAt) const
{
    const Milliseconds staleAt = std::max(confirmedAt + this->stalenessBound(), this->leavesItUntil);
    if (this->vacantSince == Never)
        return staleAt;
    return std::min(staleAt, this->vacantSince + this->volunteerDelay());
}

bool WatchDuty::leads(Milliseconds now) const
{
    return !this->activeOthersBelow(now);
}

std::optional<peers::Member> WatchDuty::firstBefore(bool isWatching, Milliseconds now) const
{
    const Watcher* first = nullptr;
    for (const Watcher& watcher : this->known) {
        const bool isHeard = now - watcher.toldAt <= this->options.firstRemembered;
        const bool goesBefore = !isWatching || watcher.rank < this->ownRank;
        if (isHeard && goesBefore && (!first || watcher.rank < first->rank))
            first = &watcher;
    }
    return first ? std::optional(first->member) : std::nullopt;
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
        const bool isHeard = this->isActive(*watcher, now) || this->isAsking(*watcher, now);
        if (found.size() < this->options.wanted && isHeard)
            found.push_back(watcher->member);
    }
    return found;
}

}
