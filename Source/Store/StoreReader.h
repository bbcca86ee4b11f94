#pragma once

#include "Base/Milliseconds.h"
#include "Base/Random.h"
#include "Exchange/Backoff.h"
#include "Store/StoreCall.h"
#include "Store/StoreCallNumbers.h"
#include "Store/StoreView.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burlreach {

/** The effect of an answer of the store on the view. */
struct StoreUpdate {
    std::vector<StoreItem> changes;
    bool isConfirmed = false; // the answer shows that the view was complete at confirmedAt
    Milliseconds confirmedAt = LongAgo;
    bool isStaleReading = false; // everything was read, but the answers may be some seconds old
    bool isFailure = false; // the store gave no usable answer
};

/**
 * Decides when this instance calls the store, one call at a time. It reads everything once, then watches for as long as
 * the caller wants, and reads everything again when the store no longer has the changes in between. A call without a
 * usable answer is followed by a backoff with jitter.
 *
 * The first reading may be some seconds old, which saves the store most of the work when a whole fleet starts: gossip
 * updates of other instances, or a watch from its revision, bring the changes that it lacks.
 */
class StoreReader {
public:
    struct Options {
        std::string prefix; // of the keys to watch
        /** The longest random delay of the first reading, before which other instances may send everything. */
        Milliseconds firstReadingSpread;
        Milliseconds watchWait{ 1200 }; // also the interval at which a watch without changes confirms the view
        Milliseconds watchGap{ 150 }; // pause after changes, so that further changes come with one answer
        Milliseconds readTimeout{ 800 }; // without a byte of the answer; doubled after each timeout, up to the longest
        Milliseconds longestReadTimeout{ 1600 }; // hundreds of instances that read at once share the store's link
        Milliseconds watchGrace{ 500 }; // timeout of a watch after its wait
        Backoff::Options backoff{ .first = { 100 }, .longest = { 1500 } };
    };

    StoreReader(Options options, StoreView& view, StoreCallNumbers& numbers, Random& random);

    /** The next call to the store, if one is due. */
    std::optional<StoreRequest> next(Milliseconds now, bool shouldWatch);
    StoreUpdate answered(const StoreAnswer& answer, Milliseconds now);

    /** A call is under way. */
    bool isAsking() const { return this->pending != 0; }
    /** This instance watches the store, or will after the present reading or pause. */
    bool isWatching() const { return this->watching; }
    /** When next() may return a call again; Never while one is under way. */
    Milliseconds nextAt() const { return this->pending ? Never : this->pausedUntil; }

private:
    StoreRequest newRequest(StoreOperation operation, Milliseconds now);
    StoreUpdate handleFailure(StoreStatus status, Milliseconds now);
    StoreUpdate handlePage(const StoreAnswer& answer, Milliseconds now);
    StoreUpdate handleWatch(const StoreAnswer& answer, Milliseconds now);
    bool mustRead() const;
    /** The view is still empty: neither the store nor another instance has filled it. */
    bool isFirstReading() const { return !this->historyLost && !this->view->revision(); }

    Options options;
    StoreView* view;
    StoreCallNumbers* numbers;
    Random* random;
    Backoff backoff;
    StoreCallNumber pending = 0;
    StoreOperation pendingOperation = StoreOperation::ReadRange;
    Milliseconds sentAt = LongAgo;
    Milliseconds readingStartedAt = LongAgo; // when the first page was requested
    Milliseconds pausedUntil = LongAgo;
    Milliseconds currentReadTimeout; // timeout of the next reading
    Milliseconds latency; // of the last page or watch without changes, less the wait of the watch
    bool hasStarted = false; // the time of the first reading has been chosen
    bool historyLost = false; // everything must be read before the next watch
    bool watching = false;
    std::vector<StoreItem> pages; // items read so far
    bool pagesMayBeStale = false;
    StoreRevision pagesRevision = 0; // up to which the pages together are complete
};

}
