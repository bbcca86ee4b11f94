#pragma once

#include "Base/Milliseconds.h"
#include "Base/Random.h"
#include "Exchange/Backoff.h"
#include "Quotas/CreditShareAssigner.h"
#include "Quotas/CreditShareLease.h"
#include "Store/StoreCall.h"
#include "Store/StoreCallNumbers.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace burlreach {

/**
 * Runs the leases of all credit shares at one instance. Decides on the calls to the store that confirm the shares held
 * here, take those of an earlier run, release them, and, at the leading watcher, assign shares to instances.
 */
class CreditShares {
public:
    struct Options {
        CreditShareLease::Options lease;
        CreditShareAssigner::Options assigner;
        Milliseconds confirmationInterval{ 2000 }; // short enough that a lease survives a store outage of 8 s
        Milliseconds answerTimeout{ 1500 };
    };

    /** The inputs of a decision. */
    struct Inputs {
        bool isNeeded = false; // there are customers with a limit, and this instance is not about to stop
        bool hasView = false; // this instance has a complete view of the store
        std::size_t instances = 1; // known size of the fleet
        CreditShareAssigner::Inputs fleet;
    };

    CreditShares(Options options, StoreCallNumbers& numbers, Random& random);

    /** Handles a changed item of the store; true when it is that of a share. */
    bool itemChanged(const StoreItem& item, Milliseconds now);
    /** The next call to the store, if one is due; to be called until there is none. */
    std::optional<StoreRequest> next(const Inputs& inputs, Milliseconds now);
    /** True when the answer belonged to a call of this object. */
    bool answered(const StoreAnswer& answer, Milliseconds now);
    /** An item that this instance wrote and that takeWritten() has not returned yet. */
    /** The number of searches of the known instances so far, for lost holders and for new ones. */
    std::uint64_t checks() const { return this->checkCount; }
    std::optional<StoreItem> takeWritten();
    /** When next() must be called again even if no message arrives. */
    Milliseconds nextDue() const { return this->nextCheck; }

    std::span<CreditShareLease> leases() { return this->list; }
    std::span<const CreditShareLease> leases() const { return this->list; }
    /** True while an instance of an earlier version holds the whole quota: no other share may be granted from. */
    bool isWholeQuotaHeld() const;
    /** The number of shares from which this instance grants now. */
    std::size_t countGranting(Milliseconds now) const;

private:
    /** A write of a share under way. */
    struct PendingWrite {
        std::size_t share = 0;
        std::string value;
        bool isRelease = false;
        bool isOwnName = false;
    };

    bool isWriting(std::size_t share) const;
    StoreRequest write(std::size_t share, const peers::Member& holder, bool isReleased);
    std::optional<StoreRequest> writeOwn(const Inputs& inputs, Milliseconds now);
    std::optional<StoreRequest> release(const Inputs& inputs, Milliseconds now);
    std::optional<StoreRequest> writeAssigned(const Inputs& inputs, Milliseconds now);
    std::optional<StoreRequest> confirm(Milliseconds now);
    void recognizeOwnWrite(std::size_t share);
    void handleConfirmation(const StoreAnswer& answer, Milliseconds now);
    /** True when this instance holds more shares than its part for longer than the size of the fleet may be unsure. */
    bool holdsTooMany(const Inputs& inputs, Milliseconds now);
    void planNextCheck(const Inputs& inputs, Milliseconds now);

    Options options;
    StoreCallNumbers* numbers;
    Random* random;
    CreditShareAssigner assigner;
    std::uint64_t checkCount = 0;
    Milliseconds nextAssignment = LongAgo; // when to search for shares to assign again
    std::deque<CreditShareAssigner::Assignment> assignments; // found by the last search and not written yet
    std::vector<CreditShareLease> list; // CreditShareCount leases
    Backoff writeBackoff;
    Backoff confirmationBackoff;
    std::map<StoreCallNumber, PendingWrite> pendingWrites;
    StoreCallNumber pendingConfirmation = 0; // the confirming read under way; 0: none
    Milliseconds confirmationSentAt = LongAgo;
    Milliseconds nextConfirmation = LongAgo;
    Milliseconds writesPausedUntil = LongAgo;
    Milliseconds processStart = Never;
    Milliseconds tooManySince = Never;
    Milliseconds nextCheck = Never;
    std::vector<StoreItem> written;
    std::map<std::size_t, StoreRevision> ownWrites; // by share: an acknowledged write of this instance's own name
};

}
