#pragma once

#include "Base/Milliseconds.h"
#include "Membership/MemberTable.h"
#include "Quotas/CreditShareItem.h"
#include "Quotas/CreditShareLease.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace burlreach {

/**
 * Decides which shares the leading watcher gives to which instances: those without a holder, and those whose holder is
 * lost. Shares are spread over instances and data centres; among equals the instance with the highest capacity is
 * chosen.
 */
class CreditShareAssigner {
public:
    struct Options {
        peers::Member self;
        Milliseconds lostAfter{ 1800 }; // without a message; instances send one every 1.2 s
        /** The same while few shares are missing, or while this instance hears from half of the fleet or fewer. */
        Milliseconds lostAfterIfCutOff{ 15000 };
        /** Time for a holder's next run to take its shares itself: its start and the first read of the store. */
        Milliseconds restartTime{ 4000 };
        Milliseconds stopTime{ 10000 }; // after a release, the instance gets no share: it is probably stopping
    };

    /** The inputs of a decision. */
    struct Inputs {
        bool leads = false; // this instance is the leading watcher
        std::optional<std::size_t> fleetAtLeast; // FleetSize::atLeast()
        std::span<const KnownMember> members; // the other instances
    };

    /** A share to be written. */
    struct Assignment {
        std::size_t share = 0;
        peers::Member holder; // without an address if a predecessor may still grant
    };

    explicit CreditShareAssigner(Options options);

    /**
     * The shares to write now; must be called regularly while shares are needed, also while this instance does not
     * lead. Takes about 1.4 microseconds for each member.
     */
    std::vector<Assignment> assign(std::span<const CreditShareLease> shares, const Inputs& inputs, Milliseconds now);
    /** The number of shares that one instance may hold in a fleet of this size. */
    static std::size_t mostShares(std::size_t instances);

private:
    /** An instance that may hold shares. */
    struct Candidate {
        peers::Member member;
        std::size_t held = 0;
    };

    struct Release {
        std::uint64_t incarnation = 0; // number of the run that released a share
        Milliseconds at = LongAgo;
    };

    /** What was heard from the instance that an item names as the holder. */
    struct HolderNews {
        Milliseconds at = LongAgo; // its last message
        std::uint64_t incarnation = 0; // number of its present run
        Milliseconds since = LongAgo; // when that run was heard of first
    };

    enum class Need {
        None,
        Free, // no instance can be granting
        Lost // the previous holder may still grant
    };

    Need needOf(const CreditShareLease& share, const Inputs& inputs, bool isCutOff, Milliseconds now) const;
    bool isLost(const CreditShareLease& share, const Inputs& inputs, Milliseconds lostAfter, Milliseconds now) const;
    std::size_t countHeard(const Inputs& inputs, Milliseconds now) const;
    std::vector<Candidate> candidates(
        std::span<const CreditShareLease> shares, const Inputs& inputs, Milliseconds now) const;
    void noteHolders(std::span<const CreditShareLease> shares, const Inputs& inputs, Milliseconds now);

    Options options;
    Milliseconds leadsSince = Never;
    std::map<std::string, Release> released; // by instance: the last release of a share
    std::map<std::string, HolderNews> heard; // by holder; the fleet's list of instances forgets them earlier
};

}
