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
 * A few instances watch the store and send its changes to the others as gossip updates. There is no election and no
 * record in the store. An instance volunteers when it knows of too few watchers, after a delay that depends on its
 * name, and stops when enough other watchers have a lower rank. An instance without fresh knowledge of the store, for
 * whatever cause, watches at once, except as follows.
 *
 * An instance that receives fresh updates, but misses changes before them, is not cut off. It pulls those changes and
 * watches only if that takes too long. Otherwise, whenever a large fleet is late, every instance would call the store.
 *
 * During a store outage the watchers keep calling the store, and their updates say that it does not answer. Instances
 * that receive those updates do not call the store too, or all of them would call it again and again. Each calls it
 * only in its turn, once a round, in case the store refuses just the watchers.
 */
class WatcherSelection {
public:
    struct Options {
        std::string ownName;
        std::uint32_t ownCapacity = 0; // in percent of a processor; instances with more capacity have a lower rank
        std::size_t wantedWatchers = 3; // number of watchers
        Milliseconds staleAfter{ 1450 }; // knowledge of the store older than this is stale
        Milliseconds staleSpread{ 250 }; // added to that, depending on the name, so that not all call the store at once
        /**
         * The same for an instance that receives fresh updates but misses earlier changes. It has pulled them by then;
         * in a large fleet many are behind at once. Shorter than the 2.5 s after which the store counts as unavailable.
         */
        Milliseconds behindAfter{ 2000 };
        Milliseconds behindSpread{ 400 };
        Milliseconds expireAfter{ 3000 }; // a watcher without a message for longer is gone
        /** The same for the watcher of the lowest rank, which the next one then replaces; updates come every 1.3 s. */
        Milliseconds firstExpireAfter{ 2000 };
        Milliseconds volunteerSpread{ 3000 }; // the longest delay before an instance volunteers
        /**
         * The turns of all instances together while the store does not answer the watchers: within one or two seconds
         * one of them finds out whether the store serves others. With 473 instances this makes 10 calls a second
         * instead of about 400.
         */
        double turnsPerSecond = 10;
    };

    explicit WatcherSelection(Options options);

    /** Records an update sent by a watcher, which had an answer of the store at confirmedAt. */
    void recordWatcherMessage(const peers::Member& watcher, Milliseconds confirmedAt, Milliseconds now);
    bool knows(const peers::Incarnation& watcher) const;
    /** Records a watcher that another instance named. */
    void recordNamedWatcher(const peers::Member& watcher, Milliseconds now);

    /**
     * Whether this instance should watch. Its knowledge of the store was last confirmed as current at confirmedAt;
     * `instances` is the known size of the fleet.
     */
    bool shouldWatch(bool isWatching, Milliseconds confirmedAt, std::size_t instances, Milliseconds now);
    /** Records that a call to the store failed, which ends the turn of this instance. */
    void recordFailedCall() { this->turnEnd = LongAgo; }
    /** When the result of shouldWatch() may change even if no message arrives. */
    Milliseconds nextChange(Milliseconds confirmedAt) const;
    bool isStale(Milliseconds confirmedAt, Milliseconds now) const;

    /** True when no active watcher of a lower rank is known: the updates of this instance then contain the changes. */
    bool isLeader(Milliseconds now) const;
    /**
     * The instance of the lowest rank among those that watch or call the store and recently sent an update themselves.
     * All instances that receive the same updates find the same one, whether or not the store answers. nullopt if there
     * is none, or if this instance is watching and has a lower rank.
     */
    std::optional<peers::Member> findFirstWatcher(bool isWatching, Milliseconds now) const;
    /**
     * The instances to which this one sends hellos to get their updates: up to `wantedWatchers` active watchers, the
     * lowest ranks first, and up to `wantedWatchers` of the other known watchers. When there are enough active ones,
     * only those others count that have a lower rank than the last of them.
     */
    std::vector<peers::Member> watchers(Milliseconds now) const;
    /**
     * Up to `wantedWatchers` watchers that recently sent an update themselves, those with answers of the store first.
     * Only these are named to other instances; otherwise the name of a lost watcher would circulate for ever.
     */
    std::vector<peers::Member> reportingWatchers(Milliseconds now) const;

private:
    /** The order in which instances are chosen as watchers, lowest first: by capacity, then by the hash of the name. */
    struct Rank {
        std::uint32_t invertedCapacity = 0; // bitwise complement of the capacity
        std::uint64_t hash = 0;

        auto operator<=>(const Rank&) const = default;
    };

    struct Watcher {
        peers::Member member;
        Rank rank;
        Milliseconds confirmedAt = LongAgo; // when it last had an answer of the store
        Milliseconds lastNamedAt = LongAgo; // when it or another instance last named it
        Milliseconds updatedAt = LongAgo; // when its own last update was received
    };

    /** Null for this instance itself and for a life earlier than the known one. */
    Watcher* findOrAdd(const peers::Member& member);
    /** The watcher gets answers of the store. */
    bool isActive(const Watcher& watcher, Milliseconds now) const;
    /** The watcher is alive and calls the store, whether or not it gets answers. */
    bool isCalling(const Watcher& watcher, Milliseconds now) const;
    /**
     * Until when the watchers count as calling the store without success, by the updates received so far. LongAgo when
     * one of them has fresh answers, or there are none.
     */
    Milliseconds othersUnansweredUntil(Milliseconds now) const;
    /** Until when a watcher counts as having fresh answers of the store, by the updates received so far. */
    Milliseconds freshUntil() const;
    /** Whether this instance, whose knowledge of confirmedAt is stale, should call the store itself. */
    bool shouldCallStore(bool isWatching, Milliseconds confirmedAt, std::size_t instances, Milliseconds now);
    static Rank rankOf(std::string_view name, std::uint32_t capacity);
    /** The number of other instances that watch or call the store and have at least the capacity of this one. */
    std::size_t countComparableWatchers(Milliseconds now) const;
    std::size_t countCallingBelow(Milliseconds now) const;
    std::size_t countActiveBelow(Milliseconds now) const;
    std::vector<const Watcher*> ranked(Milliseconds now) const;
    Milliseconds volunteerDelay() const;
    Milliseconds stalenessBound() const;
    /** When an instance that receives fresh updates, but misses changes since confirmedAt, calls the store. */
    Milliseconds behindUntil(Milliseconds confirmedAt) const;

    Options options;
    Rank ownRank;
    std::vector<Watcher> known;
    Milliseconds vacantSince = Never; // since when there are too few watchers
    Milliseconds nextTurn = Never; // the next turn of this instance to call the store although the watchers do
    Milliseconds turnEnd = LongAgo; // end of its present turn
    /** Until then this instance leaves calls to the store to the watchers, although its knowledge is stale. */
    Milliseconds deferredUntil = LongAgo;
};

}
