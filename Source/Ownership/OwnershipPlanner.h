#pragma once

#include "peers.pb.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace burlreach {

/** A member of the present ownership, or an instance that wants to join it. */
struct MemberStatus {
    peers::Member member; // with its present leaving mark
    bool reachable = true;
    bool gone = false; // for certain: it will never act again
};

/**
 * Works out the next ownership from the present one.
 *
 * The primary of a slot holds all records of the slot, and so does a backup
 * that is marked complete. Another member becomes primary only when it is a
 * complete backup. When no complete member is left and all are gone for
 * certain, the slot starts anew and is marked as lost; when one might still
 * act, the slot stays with it, reachable or not.
 */
class OwnershipPlanner {
public:
    struct Options {
        std::size_t slotsMovedAtOnce = 32; // for an even spread
        bool spreads = true; // false: only what cannot wait
    };

    explicit OwnershipPlanner(Options options);

    /** Nothing when the present ownership is right as it is. */
    std::optional<peers::Ownership> plan(const peers::Ownership& present, std::span<const MemberStatus> statuses,
        std::span<const peers::SlotVersion> completed);

private:
    /** A slot with its owners as indexes into the statuses. */
    struct Draft {
        std::optional<std::size_t> primary;
        std::optional<std::size_t> backup;
        bool backupComplete = false;
        std::uint32_t changedEpoch = 0;
        std::uint32_t lostEpoch = 0;

        bool operator==(const Draft&) const = default;
    };

    void readDrafts(const peers::Ownership& present);
    std::optional<std::size_t> indexOf(const peers::Member* member) const;
    void markCompleted(std::span<const peers::SlotVersion> completed);
    void repair(std::size_t slot, std::uint32_t epoch);
    void choosePrimary(Draft& draft, std::size_t slot, std::uint32_t epoch) const;
    void chooseBackup(Draft& draft, std::size_t slot) const;
    void spread(std::uint32_t epoch);
    bool spreadSlot(std::size_t slot);
    bool isUsable(std::optional<std::size_t> member) const;
    bool isGone(std::optional<std::size_t> member) const;
    std::optional<std::size_t> best(std::size_t slot, std::optional<std::size_t> except) const;
    bool membersChanged(const peers::Ownership& present) const;
    bool isKept(std::size_t member) const;
    peers::Ownership write(std::uint32_t epoch) const;

    Options options;
    std::span<const MemberStatus> statuses;
    std::vector<Draft> drafts;
};

}
