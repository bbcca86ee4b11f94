#pragma once

#include "Base/Milliseconds.h"
#include "Base/NetworkAddress.h"
#include "Base/Random.h"
#include "Exchange/Backoff.h"
#include "Quotas/CreditIssuer.h"
#include "Store/StoreCall.h"
#include "Store/StoreCallNumbers.h"
#include "Store/StoreItem.h"
#include "peers.pb.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace burlreach {

/** The store key whose item names the instance that grants credit; the same in every dialect of the store. */
inline constexpr const char* GrantorKey = "burlreach/credit-grantor";

/** Encodes the message as JSON. */
std::string encodeGrantor(const peers::CreditGrantor& grantor);
/** nullopt when the value is not such a message. */
std::optional<peers::CreditGrantor> decodeGrantor(const std::string& value);

/**
 * Decides whether this instance is the one that grants credit for customers' requests. It works like a lease.
 *
 * One item of the store names the holder. It is written only if its revision is unchanged, so two instances cannot
 * replace each other unnoticed. The holder confirms its role by reading the item at a short interval. It grants in
 * full while the last confirmation is recent (fullFor), then half until halfFor, then nothing.
 *
 * A new holder waits until its predecessor has stopped: it grants half once the predecessor can grant half at most, and
 * in full once the predecessor can grant nothing. It grants in full at once if the predecessor has released the role,
 * if its process has certainly ended, or if there was none.
 *
 * The leading watcher takes the role first. The holder then keeps it while it lives, whichever instance leads: a store
 * outage during a change of holder would interrupt granting. Any watcher may replace a holder that is lost.
 */
class CreditGrantorLease {
public:
    struct Options {
        peers::Member self;
        Milliseconds confirmationInterval{ 300 };
        Milliseconds fullFor{ 800 }; // since the confirming call was sent; long enough that one call may fail
        /** Longer than most store outages: without it all customers with a limit would be refused during an outage. */
        Milliseconds halfFor{ 10000 };
        Milliseconds lostAfter{ 1800 }; // without a message, an instance counts as lost; watchers send every 1.3 s
        Milliseconds leaderFirst{ 250 }; // then any watcher takes a free role: the leading one may be stopping
        Milliseconds answerTimeout{ 1500 };
    };

    /** The last message of another instance about itself. */
    struct LastMessage {
        peers::Member member;
        Milliseconds at = LongAgo;
    };

    /** The inputs of a decision. */
    struct Inputs {
        const StoreItem* stored = nullptr; // the item under GrantorKey, as known here
        bool leads = false; // this instance is the leading watcher
        bool isWatching = false; // this instance watches the store
        bool isNeeded = true; // there are customers with a limit, and this instance is not about to stop
        bool isGrantorUnresponsive = false; // the granting instance has just failed to answer a query
        std::function<std::optional<LastMessage>(const std::string& name)> findLastMessage;
    };

    CreditGrantorLease(Options options, StoreCallNumbers& numbers, Random& random);

    /** Evaluates the present state; returns the next call to the store, if one is due. */
    std::optional<StoreRequest> next(const Inputs& inputs, Milliseconds now);
    /** True when the answer belonged to a call of this object. */
    bool answered(const StoreAnswer& answer, Milliseconds now);
    /** The item that this instance wrote, if a write was acknowledged since the last call of this function. */
    std::optional<StoreItem> takeWritten() { return std::exchange(this->written, std::nullopt); }

    /** How much this instance may grant now. */
    GrantMode mode(Milliseconds now) const;
    /** The instance that the store names; nullopt while it names none. */
    std::optional<peers::Member> holder() const;
    /** If this instance became the holder since the last call of this function: when it may start to grant. */
    std::optional<Milliseconds> takeBegun() { return std::exchange(this->grantingStart, std::nullopt); }
    /** True when no instance granted before this one became the holder. */
    bool isFirst() const { return this->replacedPredecessor == Predecessor::None; }
    /** When next() must be called again even if no message arrives. */
    Milliseconds nextDue() const { return this->nextCheck; }

private:
    /** Whether the previous holder may still grant. */
    enum class Predecessor {
        None, // there was none
        Gone, // it grants nothing: it released the role, or its process has ended
        Uncertain, // it does not keep the role, but may still grant
        Present // it is alive and keeps the role
    };

    /** Reads the item if its revision has changed; begins to grant if it names this instance. */
    void updateHolder(const StoreItem* stored, Milliseconds now);
    void startHolding(Milliseconds now);
    bool isHolder() const;
    Predecessor evaluatePredecessor(const Inputs& inputs, Milliseconds now) const;
    Predecessor evaluateOtherInstance(const Inputs& inputs, Milliseconds now) const;
    /** As the holder: the next call to confirm the role, or to release it when it is no longer needed. */
    std::optional<StoreRequest> renewOrRelease(const Inputs& inputs, Milliseconds now);
    /** When not the holder: the write that takes the role, if it is free or the holder is lost. */
    std::optional<StoreRequest> acquire(const Inputs& inputs, Milliseconds now);
    StoreRequest write(const StoreItem* stored, bool isReleased, Milliseconds now);
    StoreRequest requestConfirmation(Milliseconds now);
    void handleConfirmation(const StoreAnswer& answer);

    Options options;
    StoreCallNumbers* numbers;
    Random* random;
    Backoff backoff;
    std::optional<peers::CreditGrantor> holderRecord; // the holder according to the store
    StoreRevision holderRevision = 0; // the revision of that item
    Milliseconds holderSince = LongAgo; // when this instance saw that revision first
    Milliseconds nextCheck = Never;
    Milliseconds pausedUntil = LongAgo; // backoff after a failed write
    StoreCallNumber pendingWrite = 0; // the write under way; 0: none
    StoreCallNumber pendingConfirmation = 0; // the confirming read under way; 0: none
    Milliseconds writeSentAt; // when the pending write was sent
    Milliseconds confirmationSentAt = LongAgo;
    Milliseconds nextConfirmation = LongAgo;
    Milliseconds watchingSince = LongAgo;
    std::string writtenValue; // of the pending write
    std::optional<StoreItem> written;
    bool hasStopped = false; // this instance grants nothing more under the present item, though it may be named there
    Predecessor replacedPredecessor = Predecessor::Uncertain; // when this instance wrote its name
    std::optional<Milliseconds> grantingStart;
    Milliseconds halfFrom = Never;
    Milliseconds fullFrom = Never;
    Milliseconds confirmedAt = LongAgo; // when the last call was sent that confirmed this instance as the holder
};

}
