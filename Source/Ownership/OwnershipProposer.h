#pragma once

#include "Base/Milliseconds.h"
#include "Base/Random.h"
#include "Exchange/Backoff.h"
#include "Exchange/Outbox.h"
#include "Exchange/StoreCallNumbers.h"
#include "Membership/MemberDirectory.h"
#include "Ownership/OwnershipListener.h"
#include "Ownership/OwnershipPlanner.h"

#include <optional>
#include <vector>

namespace burlreach {

/** What the proposer sees of the fleet at one moment. */
struct OwnershipView {
    const peers::Ownership* ownership = nullptr; // never null; epoch 0: none is known
    const MemberDirectory* directory = nullptr;
    std::optional<std::size_t> rank; // of this instance among the coordinators
    peers::Member self;
};

/**
 * Changes the ownership in the platform's service when members join, fall
 * silent, leave or have taken over records. Any instance may propose at any
 * time without harm, since the write is a compare-and-swap; to spare the
 * service, only the coordinators do, one after the other by rank.
 */
class OwnershipProposer {
public:
    struct Options {
        Milliseconds heartbeatInterval{ 500 };
        Milliseconds firstWait{ 1000 }; // before the first ownership of a fleet is written
        Milliseconds shortestGap{ 300 }; // between two proposals
        Milliseconds rankDelay{ 1500 };
        Milliseconds spreadGap{ 5000 };
        Milliseconds reportKept{ 3000 };
        Milliseconds storeAnswerTimeout{ 2000 };
    };

    OwnershipProposer(Options options, OwnershipListener& listener, StoreCallNumbers& numbers, Random& random);

    /** A member was reported silent; it is asked directly before it counts so. */
    void reportSuspected(
        const peers::Incarnation& incarnation, const OwnershipView& view, Milliseconds now, Outbox& outbox);
    void reportJoining(const peers::Member& member, Milliseconds now);
    void reportCompleted(const peers::SlotVersion& version);
    /** The known ownership changed; what waited for it is looked at anew. */
    void ownershipChanged(const peers::Ownership& ownership, Milliseconds now);
    bool storeAnswered(const StoreAnswer& answer, const OwnershipView& view, Milliseconds now, Outbox& outbox);
    void tick(const OwnershipView& view, Milliseconds now, Outbox& outbox);
    bool isUnreachable(std::uint64_t incarnation, const MemberDirectory& directory, Milliseconds now) const;

private:
    enum class Phase {
        Idle,
        Reading,
        Writing
    };

    struct Suspect {
        peers::Incarnation incarnation;
        Milliseconds askedAt;
        Milliseconds reportedAt;
    };

    struct Joiner {
        peers::Member member;
        Milliseconds reportedAt;
    };

    void forgetOldReports(const OwnershipView& view, Milliseconds now);
    std::vector<MemberStatus> statuses(
        const peers::Ownership& ownership, const OwnershipView& view, Milliseconds now) const;
    std::optional<peers::Ownership> plan(
        const peers::Ownership& ownership, const OwnershipView& view, Milliseconds now) const;
    bool mayPropose(const OwnershipView& view, Milliseconds now);
    void read(Milliseconds now, Outbox& outbox);
    void readAnswered(const StoreAnswer& answer, const OwnershipView& view, Milliseconds now, Outbox& outbox);
    void write(peers::Ownership ownership, std::uint64_t index, Milliseconds now, Outbox& outbox);
    void rest(Milliseconds now);

    Options options;
    OwnershipListener* listener;
    StoreCallNumbers* numbers;
    Random* random;
    Backoff backoff;
    std::vector<Suspect> suspects;
    std::vector<Joiner> joiners;
    std::vector<peers::SlotVersion> completed;
    Phase phase = Phase::Idle;
    StoreCallNumber storeCall = 0;
    Milliseconds answerDue;
    Milliseconds earliest = LongAgo; // of the next proposal
    Milliseconds changedAt = LongAgo; // of the known ownership
    Milliseconds neededSince = Never;
    Milliseconds nextPlan = LongAgo;
    Milliseconds startedAt = Never;
    peers::Ownership proposed;
};

}
