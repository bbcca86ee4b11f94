#pragma once

#include "Base/Milliseconds.h"
#include "Base/NetworkAddress.h"
#include "Base/Random.h"
#include "Exchange/Backoff.h"
#include "Quotas/CreditGrants.h"
#include "Store/StoreCall.h"
#include "Store/StoreCallNumbers.h"
#include "Store/StoreItem.h"
#include "peers.pb.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace burlreach {

/** The key under which the instance that grants credit is named, in every form of the store. */
inline constexpr const char* GrantorKey = "burlreach/credit-grantor";

/** As text, in the JSON mapping. */
std::string writeGrantor(const peers::CreditGrantor& grantor);
/** Nothing when the value was not written by an instance. */
std::optional<peers::CreditGrantor> readGrantor(const std::string& value);

/**
 * Decides whether this instance grants credit for customers' requests.
 *
 * The store names the one that does, written under a condition, so two never
 * replace each other unseen. The named one grants while the store has lately
 * proved that it still is; longer without a proof it grants half. Whoever takes
 * its place waits until that is over, or begins at once when the one before has
 * given it up or its process has certainly ended. The leading watcher is named
 * first and stays so while it lives, whoever leads: each change of hands could
 * meet an outage of the store. Any watcher replaces one that is lost.
 */
class GrantorTenure {
public:
    struct Options {
        peers::Member self;
        Milliseconds proofInterval{ 300 };
        Milliseconds fullFor{ 800 }; // since the call was sent that proved it; one answer may fail
        /** Longer than most outages of the store: without it all customers would be refused while it is away. */
        Milliseconds halfFor{ 10000 };
        Milliseconds lostAfter{ 1800 }; // an instance not heard for longer; watchers speak every 1.3 s
        Milliseconds leaderFirst{ 250 }; // then any watcher takes a free place: the leading one may be about to stop
        Milliseconds answerTimeout{ 1500 };
    };

    /** An instance as it last described itself. */
    struct Heard {
        peers::Member member;
        Milliseconds at = LongAgo;
    };

    /** The state around it, as known at the moment. */
    struct Surroundings {
        const StoreItem* stored = nullptr; // the item of the key, as known here
        bool leads = false; // this instance leads the watchers
        bool isWatching = false;
        bool isNeeded = true; // there are customers with a limit, and this instance is not about to stop
        bool isSilent = false; // the granting instance has just not answered
        std::function<std::optional<Heard>(const std::string& name)> heard;
    };

    GrantorTenure(Options options, StoreCallNumbers& numbers, Random& random);

    /** Looks at what the store says; gives the call to it, if one is needed. */
    std::optional<StoreRequest> next(const Surroundings& around, Milliseconds now);
    /** True when the answer belonged to a call of this object. */
    bool answered(const StoreAnswer& answer, Milliseconds now);
    /** What was written and acknowledged since the last call. */
    std::optional<StoreItem> takeWritten() { return std::exchange(this->written, std::nullopt); }

    /** How much this instance may grant now. */
    GrantMode mode(Milliseconds now) const;
    /** The one named by the store; nothing while none is. */
    std::optional<peers::Member> holder() const;
    /** Where a tenure of this instance began since the last call: when it grants for the first time. */
    std::optional<Milliseconds> takeBegun() { return std::exchange(this->begunAt, std::nullopt); }
    /** Nobody granted before this tenure. */
    bool isFirst() const { return this->before == Predecessor::Nobody; }
    /** When next() may have something to do although nothing is heard. */
    Milliseconds nextDue() const { return this->lookAgainAt; }

private:
    /** What the instance named before may still do. */
    enum class Predecessor {
        Nobody, // none was ever named
        Gone, // it grants nothing: it gave it up, or its process has ended
        Uncertain, // it may still grant
        Present // it is there and may go on
    };

    /** Reads the item when it is another one than before; begins a tenure when it names this instance. */
    void look(const StoreItem* stored, Milliseconds now);
    void begin(Milliseconds now);
    bool isNamed() const;
    Predecessor predecessor(const Surroundings& around, Milliseconds now) const;
    Predecessor otherPredecessor(const Surroundings& around, Milliseconds now) const;
    /** While it is named: the next proof, or the end of it. */
    std::optional<StoreRequest> keep(const Surroundings& around, Milliseconds now);
    std::optional<StoreRequest> replace(const Surroundings& around, Milliseconds now);
    StoreRequest write(const StoreItem* stored, bool isReleased, Milliseconds now);
    StoreRequest askForProof(Milliseconds now);
    void proofAnswered(const StoreAnswer& answer);

    Options options;
    StoreCallNumbers* numbers;
    Random* random;
    Backoff backoff;
    std::optional<peers::CreditGrantor> named; // by the store
    StoreRevision namedAt = 0; // the revision of that item
    Milliseconds namedSince = LongAgo; // seen here
    Milliseconds lookAgainAt = Never;
    Milliseconds pausedUntil = LongAgo; // after a call that failed
    StoreCallNumber pending = 0; // a write
    StoreCallNumber pendingProof = 0;
    Milliseconds askedAt; // of the pending write
    Milliseconds proofAskedAt = LongAgo;
    Milliseconds nextProof = LongAgo;
    Milliseconds watchingSince = LongAgo;
    std::string value; // being written
    std::optional<StoreItem> written;
    bool hasGivenUp = false; // nothing more is granted under the item that is there
    Predecessor before = Predecessor::Uncertain; // as it was when this instance wrote
    std::optional<Milliseconds> begunAt;
    Milliseconds halfFrom = Never;
    Milliseconds fullFrom = Never;
    Milliseconds proof = LongAgo; // a call sent at this time showed that it was named
};

}
