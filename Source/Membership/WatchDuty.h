#pragma once

#include "Base/Milliseconds.h"
#include "peers.pb.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burlreach {

/**
 * Decides whether this instance watches the store itself.
 *
 * A few instances watch and tell the others. Nobody is elected and nothing is
 * written: an instance volunteers when it hears of too few others, after a
 * delay of its own that follows from its name, and leaves off when enough
 * others of a lower rank do it. Whoever hears nothing fresh, from whatever
 * cause, watches at once.
 *
 * While the store is away the watchers go on asking it and say so. Those that
 * hear them leave it to them, or all would ask at once and again: each asks
 * only in its turn, in case that the store turns just the watchers away.
 */
class WatchDuty {
public:
    struct Options {
        std::string ownName;
        std::uint32_t ownCapacity = 0; // in percent of a processor; stronger instances watch rather than weaker ones
        std::size_t wanted = 3; // instances that watch
        Milliseconds staleAfter{ 1450 }; // older knowledge is not relied on
        Milliseconds staleSpread{ 250 }; // not all look for themselves at once
        Milliseconds remembered{ 3000 }; // a watcher that was not heard for longer is gone
        Milliseconds firstRemembered{ 2000 }; // of the first one: the next takes its place; news come every 1.3 s
        Milliseconds volunteerSpread{ 3000 };
        /**
         * By all instances together that leave it to watchers without success: within a second or two one finds out
         * that the store serves others. With 473 instances 10 calls a second instead of some 400.
         */
        double turnsPerSecond = 10;
    };

    explicit WatchDuty(Options options);

    /** News came from this instance, which heard from the store at that time. */
    void heardWatcher(const peers::Member& watcher, Milliseconds confirmedAt, Milliseconds now);
    /** Another watcher named this one. */
    bool knows(const peers::Incarnation& watcher) const;
    void toldOfWatcher(const peers::Member& watcher, Milliseconds now);

    /** The knowledge here was last known to be current at confirmedAt; the fleet is as large as it is known to be. */
    bool shouldWatch(bool isWatching, Milliseconds confirmedAt, std::size_t instances, Milliseconds now);
    /** A call to the store from here failed: its turn among those that leave it to others is over. */
    void askedInVain() { this->turnUntil = LongAgo; }
    /** When shouldWatch() may change its mind although nothing is heard. */
    Milliseconds nextChange(Milliseconds confirmedAt) const;
    bool isStale(Milliseconds confirmedAt, Milliseconds now) const;

    /** No better placed watcher was heard: this one's news hold the changes themselves. */
    bool leads(Milliseconds now) const;
    /**
     * Of the instances that watch or ask the store, as far as they were heard themselves, the first by rank: the same
     * for all that hear the same, whether or not the store answers. Nothing when none was heard or this one, if it
     * watches, goes before them.
     */
    std::optional<peers::Member> firstBefore(bool isWatching, Milliseconds now) const;
    /**
     * Instances to which this one says that it wants their news: as many as are
     * wanted of those that were heard, the best first, and of those only named
     * by others that go before them.
     */
    std::vector<peers::Member> watchers(Milliseconds now) const;
    /** The best of those that were heard themselves, those with news of the store first. Only they are named to others,
     * or a name would be passed round for ever. */
    std::vector<peers::Member> heardWatchers(Milliseconds now) const;

private:
    /** The lower one goes first: the stronger instance, then the lower hash of its name. */
    struct Rank {
        std::uint32_t weakness = 0;
        std::uint64_t hash = 0;

        auto operator<=>(const Rank&) const = default;
    };

    struct Watcher {
        peers::Member member;
        Rank rank;
        Milliseconds confirmedAt = LongAgo; // it heard from the store
        Milliseconds knownAt = LongAgo; // it or another one spoke of it
        Milliseconds toldAt = LongAgo; // its own news came
    };

    Watcher* findOrAdd(const peers::Member& member);
    /** It has the store's answers. */
    bool isActive(const Watcher& watcher, Milliseconds now) const;
    /** It is there and asks the store, whether or not it gets answers. */
    bool isAsking(const Watcher& watcher, Milliseconds now) const;
    /** Until when watchers are taken to ask in vain, as far as heard by now; before now when one has fresh answers. */
    Milliseconds othersAskInVainUntil(Milliseconds now) const;
    /** Of an instance without fresh knowledge. */
    bool shouldAskItself(bool isWatching, std::size_t instances, Milliseconds now);
    static Rank rankOf(std::string_view name, std::uint32_t capacity);
    /** Others that watch or ask and are at least as strong. */
    std::size_t peersWithDuty(Milliseconds now) const;
    std::size_t askingOthersBelow(Milliseconds now) const;
    std::size_t activeOthersBelow(Milliseconds now) const;
    std::vector<const Watcher*> ranked(Milliseconds now) const;
    Milliseconds volunteerDelay() const;
    Milliseconds stalenessBound() const;

    Options options;
    Rank ownRank;
    std::vector<Watcher> known;
    Milliseconds vacantSince = Never;
    Milliseconds turnAt = Never; // when this instance asks although others do
    Milliseconds turnUntil = LongAgo; // it has its turn
    Milliseconds leavesItUntil = LongAgo; // to the watchers, though its knowledge is not fresh
};

}
