#pragma once

#include "Base/Milliseconds.h"
#include "peers.pb.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace burlreach {

/**
 * Decides when to pull changes from another instance, whose gossip update named a later revision than this instance has
 * but did not bring all changes up to it.
 *
 * The instance asked is one whose update named missing changes: one with the fewest unanswered pulls, of those the one
 * with the most processor capacity, since a weak one needs long to answer many.
 *
 * At most one pull is under way: a second one before the answer would make a busy instance send everything again. After
 * an update without changes the pull is delayed, since the update of the leading watcher usually brings them. After
 * announced pushes the pull waits for each of them: an update may overtake the push that an earlier one announced.
 */
class PullScheduler {
public:
    struct Options {
        Milliseconds updateDelay{ 200 }; // delay of the pull after an update without changes
        Milliseconds timeout{ 1000 }; // for the answer to a pull, before the next one
        // For an announced push: 150 KB over three hops of 10 Mbit/s take about half of it, and a pull after it is
        // still answered before this instance would have to call the store itself.
        Milliseconds pushTimeout{ 900 };
    };

    explicit PullScheduler(Options givenOptions);

    /** An update of this origin named a later revision than this instance has, and could not be applied. */
    void recordMissingChanges(const peers::Member& origin, std::uint64_t revision, bool heldChanges, Milliseconds now);
    /** An update announced a push with the changes up to this revision. */
    void recordAnnouncedPush(std::uint64_t revision, Milliseconds now);
    /**
     * A push with changes up to this revision was received; this instance now has all changes up to `reached`. If that
     * is less, changes before the push are missing too, and no later push can bring them. Otherwise the pushes
     * announced after it are on their way as well, and the wait for them begins anew.
     */
    void recordReceivedPush(std::uint64_t revision, std::uint64_t reached, Milliseconds now);
    /** This instance now has all changes up to this revision. */
    void recordReachedRevision(std::uint64_t revision);
    /** An answer to a pull was received, whatever its content. */
    void recordAnswer();
    /** The instance to pull from now, if a pull is due; the pull then counts as under way. */
    std::optional<peers::Member> next(Milliseconds now);
    Milliseconds nextDue() const;
    /** When the last pull was sent; a long time ago if none was. */
    Milliseconds lastPullAt() const { return this->lastPull; }

private:
    /** An instance that has changes which this one misses. */
    struct Source {
        peers::Member member;
        std::uint64_t revision = 0; // that its latest update named
        unsigned unanswered = 0; // pulls sent to it since the last answer to any pull
    };

    /** An announced push that has not been received. */
    struct ExpectedPush {
        std::uint64_t revision = 0;
        Milliseconds until; // how long to wait for it
    };

    /** Changes up to a revision that was named and that this instance does not have. */
    struct MissingChanges {
        std::uint64_t revision = 0;
        Milliseconds due; // when to pull them, if they have not come
    };

    Options options;
    std::vector<Source> sources;
    std::deque<MissingChanges> missing; // in the order in which they were named
    std::deque<ExpectedPush> expectedPushes; // in the order of their announcements
    Milliseconds lastPull = LongAgo;
    Milliseconds pullTimeoutAt = LongAgo; // timeout of the pull under way
};

}
