#pragma once

#include "Base/Milliseconds.h"
#include "Exchange/Outbox.h"
#include "Ownership/ClaimRecords.h"
#include "Ownership/SlotMap.h"
#include "peers.pb.h"

#include <cstddef>
#include <memory>
#include <span>
#include <vector>

namespace burlreach {

/**
 * The claims of the slots that this instance owns, as primary or as backup.
 *
 * A claim is recorded by the primary, passed to the backup, recorded there and
 * granted by the backup, so that a granted claim is always known to both. Each
 * step is taken only under the version of the slot that both know: after a
 * change of owners the former ones can grant nothing, however late they wake.
 * No clock is trusted for that; time only bounds how long records are kept.
 */
class ClaimLedger {
public:
    struct Options {
        std::uint64_t incarnation = 0;
        Milliseconds kept{ 300000 };
        std::size_t mostRecords = 200000;
        Milliseconds syncRepeat{ 300 };
        Milliseconds expiryInterval{ 1000 };
    };

    explicit ClaimLedger(Options options);

    void adopt(std::shared_ptr<const peers::Ownership> ownership, Milliseconds now, Outbox& outbox);
    void claim(const peers::Claim& claim, const peers::Incarnation& from, Milliseconds now, Outbox& outbox);
    /** True when the sender knows a newer ownership. */
    bool recordsReceived(
        const peers::SlotRecords& message, const peers::Incarnation& from, Milliseconds now, Outbox& outbox);
    void recordsKept(const peers::SlotRecordsKept& message, const peers::Incarnation& from);
    void tick(Milliseconds now, Outbox& outbox);

    /** Slots whose backup took the records over and is not yet marked complete. */
    std::vector<peers::SlotVersion> completedSlots() const;
    /** True when a claim in this slot would be granted here without delay. */
    bool grantsNow(std::size_t slot, Milliseconds now) const;
    std::size_t recordCount() const;

private:
    enum class Role {
        None,
        Primary,
        Backup
    };

    struct OwnedSlot {
        Role role = Role::None;
        std::uint32_t version = 0;
        bool synced = false; // primary: the backup has the records
        Milliseconds lostUntil = LongAgo;
        Milliseconds nextSync = Never;
        ClaimRecords records;
    };

    void adoptSlot(std::size_t slot, Milliseconds now, Outbox& outbox);
    void sendRecords(std::size_t slot, Milliseconds now, Outbox& outbox);
    void claimAsPrimary(std::size_t slot, const peers::Claim& claim, Milliseconds now, Outbox& outbox);
    void closeAsPrimary(std::size_t slot, const peers::Claim& claim, Milliseconds now, Outbox& outbox);
    void claimAsBackup(std::size_t slot, const peers::Claim& claim, Milliseconds now, Outbox& outbox);
    peers::ClaimAnswer::Result judge(std::size_t slot, const peers::Claim& claim, Milliseconds now);
    void passOn(std::size_t slot, const peers::Claim& claim, Outbox& outbox) const;
    void passOnClosed(std::size_t slot, const peers::Claim& claim, Milliseconds now, Outbox& outbox);
    void answer(const peers::Claim& claim, peers::ClaimAnswer::Result result, Outbox& outbox) const;

    Options options;
    std::shared_ptr<const peers::Ownership> ownership;
    std::vector<OwnedSlot> slots;
    Milliseconds nextExpiry = LongAgo;
};

}
