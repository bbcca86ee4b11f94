#pragma once

#include "Base/Milliseconds.h"
#include "peers.pb.h"

#include <cstddef>
#include <cstdint>
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
        Milliseconds volunteerSpread{ 3000 };
    };

    explicit WatchDuty(Options options);

    /** News came from this instance, which heard from the store at that time. */
    void heardWatcher(const peers::Member& watcher, Milliseconds confirmedAt, Milliseconds now);
    /** Another watcher named this one. */
    bool knows(const peers::Incarnation& watcher) const;
    void toldOfWatcher(const peers::Member& watcher, Milliseconds now);

    /** The knowledge here was last known to be current at confirmedAt. */
    bool shouldWatch(bool isWatching, Milliseconds confirmedAt, Milliseconds now);
    /** When shouldWatch() may change its mind although nothing is heard. */
    Milliseconds nextChange(Milliseconds confirmedAt) const;
    bool isStale(Milliseconds confirmedAt, Milliseconds now) const;

    /** No better placed watcher was heard: this one's news hold the changes themselves. */
    bool leads(Milliseconds now) const;
    /**
     * Instances to which this one says that it wants their news: as many as are
     * wanted of those that were heard, the best first, and of those only named
     * by others that go before them.
     */
    std::vector<peers::Member> watchers(Milliseconds now) const;
    /** The best of those that were heard themselves. Only they are named to others, or a name would be passed round for
     * ever. */
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
    };

    Watcher* findOrAdd(const peers::Member& member);
    bool isActive(const Watcher& watcher, Milliseconds now) const;
    static Rank rankOf(std::string_view name, std::uint32_t capacity);
    /** Others that watch and are at least as strong. */
    std::size_t activePeers(Milliseconds now) const;
    std::size_t activeOthersBelow(Milliseconds now) const;
    std::vector<const Watcher*> ranked(Milliseconds now) const;
    Milliseconds volunteerDelay() const;
    Milliseconds stalenessBound() const;

    Options options;
    Rank ownRank;
    std::vector<Watcher> known;
    Milliseconds vacantSince = Never;
};

}
