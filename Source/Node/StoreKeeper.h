#pragma once

#include "Base/Random.h"
#include "Metrics/DecisionCounters.h"
#include "Node/Actions.h"
#include "Node/FactSource.h"
#include "Node/ItemPacker.h"
#include "Store/StoreReader.h"
#include "Store/StoreView.h"
#include "peers.pb.h"

#include <algorithm>
#include <span>
#include <vector>

namespace burlreach {

/** Hears of changed items, in whatever way they became known. */
class StoreListener {
public:
    virtual ~StoreListener() = default;
    virtual void itemsChanged(std::span<const StoreItem> changes, FactSource source, Milliseconds now, Actions& actions)
        = 0;
};

/**
 * Keeps this instance's view of the store, and since when it is known to be
 * current, whether the news came from the store or from another instance.
 */
class StoreKeeper {
public:
    StoreKeeper(StoreReader::Options options, StoreListener& listener, StoreCallNumbers& numbers, Random& random,
        DecisionCounters& counters);

    /** Asks the store when it is time to. */
    void ask(bool shouldWatch, Milliseconds now, Actions& actions);
    /** True when the store confirmed or changed the view. */
    bool answered(const StoreAnswer& answer, Milliseconds now, Actions& actions);

    /** False when changes in between are missing here: they must be pulled. */
    bool takeNews(const peers::News& news, Milliseconds now, Actions& actions);
    /** An item that was just written from here; other changes up to it may still be unknown. */
    void takeWritten(const StoreItem& item, Milliseconds now, Actions& actions);
    /** False when a value in it could not be unpacked, or all of it. */
    bool takePush(const peers::Push& push, Milliseconds now, Actions& actions);
    /** What an instance that is complete through this revision is missing; everything when that is no longer known. */
    peers::Push pushFor(const peers::Pull& pull);
    /** Everything, for whoever knows nothing. */
    peers::Push pushOfEverything();
    /**
     * The changes since a revision, for news; the base is 0 when they are no
     * longer known. Large ones that stay large when packed are left out, and
     * the news say that they follow.
     */
    void fill(peers::News& news, StoreRevision since, Milliseconds now);
    /** The push that follows such news. */
    peers::Push pushAfterNews(const peers::News& news);

    const StoreView& view() const { return this->storeView; }
    /** The view was current at this time. */
    Milliseconds confirmedAt() const { return this->confirmed; }
    /** When it was confirmed last, or read as it was some seconds before. */
    Milliseconds heardAt() const { return std::max(this->confirmed, this->readAt); }
    /**
     * Until when a record that is missing may come back, since it may have
     * lapsed only while the store was away; before now when it was not away.
     */
    Milliseconds lapsesUntil(Milliseconds now) const;
    /** The last call brought no usable answer. */
    bool hasFailed() const { return this->failuresInARow > 0; }
    bool isWatching() const { return this->reader.isWatching(); }
    bool isAsking() const { return this->reader.isAsking(); }
    Milliseconds nextAt() const { return this->reader.nextAt(); }

private:
    void noteStore(const StoreAnswer& answer, bool isFailure, Milliseconds now, Actions& actions);
    /** Those that can be read; the flag is cleared, and a record made, when one cannot. */
    std::vector<StoreItem> itemsOf(
        const google::protobuf::RepeatedPtrField<peers::Item>& messages, bool& areAllRead, Actions& actions) const;
    /** Packs a long list of items as a whole: records are alike, 719 of them become a fifth of their size. */
    static void pack(peers::Push& push);
    void noteConfirmed(Milliseconds at, Milliseconds now);
    /** Nothing was heard of the store for too long; false before the first word. */
    bool isAway(Milliseconds now) const;
    void tell(const std::vector<StoreItem>& changes, FactSource source, Milliseconds now, Actions& actions);

    StoreView storeView;
    ItemPacker packer{ this->storeView };
    peers::Push everything; // as last packed: it is asked for by many in a row
    StoreReader reader;
    StoreListener* listener;
    DecisionCounters* counters;
    Milliseconds confirmed = LongAgo;
    Milliseconds readAt = LongAgo; // a reading ended that may have been stale
    Milliseconds returnedAt = LongAgo; // first heard of after it was away
    bool storeAnswers = true;
    unsigned failuresInARow = 0;
};

}
