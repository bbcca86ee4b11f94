#pragma once

#include "Base/Milliseconds.h"
#include "Quotas/CreditShareItem.h"
#include "Store/StoreItem.h"

#include <optional>
#include <string_view>
#include <utility>

namespace burlreach {

/**
 * Decides whether this instance grants credit from one share. It works like a lease.
 *
 * One item of the store names the holder of the share. The holder grants while its last confirming read of the item
 * was sent less than `leaseTime` ago. An item without the holder's address says that a predecessor may still grant: the
 * holder then waits until that lease has certainly ended, and adds its address. An item with an address is only
 * written on condition that there was no predecessor, that it had released the share, that it was an earlier run of
 * the same instance at the same address, or that the holder has waited.
 */
class CreditShareLease {
public:
    struct Options {
        peers::Member self;
        Milliseconds leaseTime{ 10000 }; // longer than most store outages
        Milliseconds takeOverDelay{ 11000 }; // leaseTime, if the predecessor's clock runs slower by 1.1
    };

    enum class State {
        Free, // no instance holds the share
        Held, // another instance holds it
        Waiting, // held here; a predecessor may still grant
        Unconfirmed, // held here, without a recent confirmation
        Granting // held here
    };

    /** The options must outlive this object. */
    explicit CreditShareLease(const Options& options)
        : options(&options)
    {
    }

    /** Sets when this process began: no earlier run of this instance has granted since then. */
    void setProcessStart(Milliseconds time) { this->processStart = time; }
    /** Handles the item of the share; items that are not newer than the known one are ignored. */
    void observe(const StoreItem& item, Milliseconds now);
    /** This instance wrote the present item, on condition that the item was the one known here before. */
    void acknowledgeOwnWrite();
    /** Handles a confirming read, which found the item at this revision; 0: absent. */
    void confirm(StoreRevision found, Milliseconds readSentAt);
    /** Stops granting, before this instance releases the share. */
    void stop() { this->hasStopped = true; }
    /** The release had no effect: this instance still holds the share. */
    void resume() { this->hasStopped = false; }

    State state(Milliseconds now) const;
    bool isGranting(Milliseconds now) const { return this->state(now) == State::Granting; }
    /** The item names this run of this instance. */
    bool isHeldHere() const;
    /** This instance may write its name and address: it held the share before, or it has waited long enough. */
    bool mayWriteAddress(Milliseconds now) const;
    /** The content of the item; nullopt while it is absent or cannot be read. */
    const std::optional<peers::CreditGrantor>& record() const { return this->grantor; }
    /** The instance that holds the share, which may have no address yet; null if none. */
    const peers::Member* holder() const;
    /** The condition of a write: the revision of the item, or 0 while it is absent. */
    StoreRevision revision() const { return this->isAbsent ? 0 : this->itemRevision; }
    bool isRemoved() const { return this->isAbsent && this->itemRevision; }
    /** When this instance learned of the present item, or of its removal. */
    Milliseconds changedAt() const { return this->changedTime; }
    /** When a holder that waits may start; Never when this instance does not wait. */
    Milliseconds waitsUntil() const { return this->isWaiting() ? this->waitEnd : Never; }
    /** If this instance may grant since the last call of this function: the time from which credit accrues. */
    std::optional<Milliseconds> takeBegun() { return std::exchange(this->begun, std::nullopt); }

private:
    bool isWaiting() const { return this->isHeldHere() && isStillWaiting(*this->grantor); }
    /** The item names an earlier run of this instance at the address of this one, which has ended. */
    bool isHeldByEarlierRun() const;

    const Options* options;
    std::optional<peers::CreditGrantor> grantor;
    StoreRevision itemRevision = 0;
    bool isAbsent = true;
    bool hasStopped = false; // grants nothing more under the present item
    bool replacesEarlierRun = false; // the item known before named an earlier run of this instance
    Milliseconds processStart = LongAgo;
    Milliseconds changedTime = LongAgo;
    Milliseconds waitEnd = Never;
    Milliseconds confirmedAt = LongAgo; // when the last confirming read was sent
    std::optional<Milliseconds> begun;
};

/** The name in log lines and operators' answers, such as "granting". */
std::string_view nameOf(CreditShareLease::State state);

}
