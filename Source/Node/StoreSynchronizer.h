#pragma once

#include "Base/Random.h"
#include "Metrics/DecisionCounters.h"
#include "Node/Actions.h"
#include "Node/ChangeSource.h"
#include "Node/ItemPacker.h"
#include "Store/StoreReader.h"
#include "Store/StoreView.h"
#include "peers.pb.h"

#include <algorithm>
#include <deque>
#include <span>
#include <vector>

namespace burlreach {

/** Is notified of changed items, whichever way this instance learned of them. */
class StoreListener {
public:
    virtual ~StoreListener() = default;
    virtual void itemsChanged(
        std::span<const StoreItem> changes, ChangeSource source, Milliseconds now, Actions& actions)
        = 0;
};

/**
 * Maintains this instance's view of the store from the store's answers, gossip
 * updates, pushes and its own writes, and tracks when the view was last
 * confirmed to be current.
 */
class StoreSynchronizer {
public:
    StoreSynchronizer(StoreReader::Options options, StoreListener& listener, StoreCallNumbers& numbers, Random& random,
        DecisionCounters& counters);

    /** Calls the store when a call is due. */
    void callIfDue(bool shouldWatch, Milliseconds now, Actions& actions);
    /** True when the store confirmed or changed the view. */
    bool answered(const StoreAnswer& answer, Milliseconds now, Actions& actions);

    /** Applies a gossip update; false when other changes up to its revision are missing and must be pulled. */
    bool applyUpdate(const peers::News& news, Milliseconds now, Actions& actions);
    /** Applies an item that this instance just wrote. Changes of other items up to its revision may be missing. */
    void applyWritten(const StoreItem& item, Milliseconds now, Actions& actions);
    /** Applies a push; false when the push, or a value in it, could not be unpacked. */
    bool applyPush(const peers::Push& push, Milliseconds now, Actions& actions);
    /** The changes since the pull's revision, or the whole view when they are no longer known one by one. */
    peers::Push pushFor(const peers::Pull& pull);
    /** The whole view, for an instance that has none. */
    peers::Push fullPush();
    /**
     * Fills a gossip update with the revision, its age and the changes since the
     * given revision. The base revision stays 0 when `since` is 0 or the changes
     * are no longer known. Changes that are large even when packed are left out,
     * and the update announces that they follow in a push.
     */
    void fillUpdate(peers::News& news, StoreRevision since, Milliseconds now);
    /** The push that follows an update that left out large changes. */
    peers::Push pushAfterUpdate(const peers::News& news);

    const StoreView& view() const { return this->storeView; }
    /** The latest time at which the view is known to have been current. */
    Milliseconds confirmedAt() const { return this->lastConfirmedAt; }
    /** When the view was last confirmed, or read completely from a source that may lag by some seconds. */
    Milliseconds lastUpdateAt() const { return std::max(this->lastConfirmedAt, this->lastFullReadAt); }
    /**
     * Until when a removed record is kept, because its lease may have expired
     * only since its server could not renew it while the store was unavailable.
     * Earlier than now when there was no recent outage.
     */
    Milliseconds lapseDeadline(Milliseconds now) const;
    /** True when the last call to the store failed. */
    bool hasFailed() const { return this->failuresInARow > 0; }
    bool isWatching() const { return this->reader.isWatching(); }
    bool isAsking() const { return this->reader.isAsking(); }
    Milliseconds nextAt() const { return this->reader.nextAt(); }

private:
    void recordCallResult(const StoreAnswer& answer, bool isFailure, Milliseconds now, Actions& actions);
    /** Decodes the items. Clears the flag and logs a record for each item that cannot be decoded. */
    std::vector<StoreItem> decodeItems(
        const google::protobuf::RepeatedPtrField<peers::Item>& messages, bool& areAllRead, Actions& actions) const;
    /** Compresses a long list of items as a whole: records are similar, so 719 of them shrink to a fifth. */
    static void pack(peers::Push& push);
    void markConfirmed(Milliseconds at, Milliseconds now);
    /** Applies the confirmations of gossip updates whose changes are all here by now. */
    void settleConfirmations(Milliseconds now);
    /** True when the view was not confirmed for too long; false before the first confirmation. */
    bool isStoreUnavailable(Milliseconds now) const;
    void notifyListener(const std::vector<StoreItem>& changes, ChangeSource source, Milliseconds now, Actions& actions);

    /** The store confirmed at this time that the revision is its latest. */
    struct Confirmation {
        StoreRevision revision = 0;
        Milliseconds at;
    };

    StoreView storeView;
    ItemPacker packer{ this->storeView };
    peers::Push fullPushCache; // cache of fullPush(): usually many instances request it in a row
    StoreReader reader;
    StoreListener* listener;
    DecisionCounters* counters;
    std::deque<Confirmation> pendingConfirmations; // of updates that came before the changes that they name
    Milliseconds lastConfirmedAt = LongAgo;
    Milliseconds lastFullReadAt = LongAgo; // when the whole view was last read or received, possibly some seconds old
    Milliseconds outageEndedAt = LongAgo; // first confirmation after the latest outage of the store
    bool isStoreAnswering = true;
    unsigned failuresInARow = 0;
};

}
