#pragma once

#include "Membership/MemberTable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burlreach {

/** Instances that are sent the same changes, over one tree. */
struct PullGroup {
    StoreRevision since = 0; // the lowest revision that one of them has; 0: some have nothing
    bool byThemselves = false; // values are sent without a base
    std::vector<KnownMember> askers;
};

/**
 * Collects the pulls of other instances, so that many of them cost little more than one.
 *
 * The first pull is answered at once. Those that follow within an interval are answered together at its end: instances
 * that miss about the same changes form a group, whose changes are collected and compressed once. A later pull of an
 * instance replaces its earlier one. A pull that its sender no longer waits for is not answered.
 */
class PullCollector {
public:
    struct Options {
        /**
         * Between two answers. Collecting and compressing changes takes a weak instance some 30 ms, and instances that
         * fall behind together ask within a few hundred.
         */
        Milliseconds interval{ 100 };
        Milliseconds timeout{ 1000 }; // for which an instance waits for an answer, as PullScheduler::Options::timeout
    };

    explicit PullCollector(Options options);

    void add(const KnownMember& asker, const peers::Pull& pull, Milliseconds now);
    /**
     * The groups to answer now, which no longer wait then; empty when no answer is due. `current` is the revision up
     * to which this instance has the changes.
     */
    std::vector<PullGroup> takeDue(StoreRevision current, Milliseconds now);
    Milliseconds nextDue() const;

private:
    struct PendingPull {
        KnownMember asker;
        StoreRevision since = 0;
        bool byThemselves = false;
        Milliseconds receivedAt;
    };

    Options options;
    std::vector<PendingPull> pending;
    Milliseconds lastAnswerAt = LongAgo;
};

}
