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

/** What an answer of the store changed here. */
struct StoreNews {
    std::vector<StoreItem> changes;
    bool isConfirmed = false; // the view was complete when the call was sent
    Milliseconds confirmedAt = LongAgo;
    bool isStaleReading = false; // everything was read, as it was some seconds ago at most
    bool isFailure = false; // the store gave no usable answer
};

/**
 * Decides when this instance asks the store: it reads everything once, then
 * watches as long as it is told to, and reads everything again when the store
 * has forgotten the changes in between. A call without a usable answer is
 * followed by a pause that grows, with jitter.
 *
 * The first reading may be some seconds old, which spares the store most when
 * a whole fleet starts: news of other instances or a watch from its revision
 * bring what it lacks.
 */
class StoreReader {
public:
    struct Options {
        std::string prefix; // of the keys that are watched
        Milliseconds firstReadingSpread; // drawn from: other instances may tell everything before it is due
        Milliseconds watchWait{ 1200 }; // also how often a quiet store confirms the view
        Milliseconds watchGap{ 150 }; // between changes and the next watch, so that changes in a row come together
        Milliseconds readTimeout{ 800 }; // without a byte; doubled after a silence, up to the longest
        Milliseconds longestReadTimeout{ 1600 }; // hundreds that read at once share the store's link
        Milliseconds watchGrace{ 500 }; // a watch without an answer is given up this long after its wait
        Backoff::Options backoff{ .first = { 100 }, .longest = { 1500 } };
    };

    StoreReader(Options options, StoreView& view, StoreCallNumbers& numbers, Random& random);

    /** The next call, if it is time for one. */
    std::optional<StoreRequest> next(Milliseconds now, bool shouldWatch);
    StoreNews answered(const StoreAnswer& answer, Milliseconds now);

    bool isAsking() const { return this->pending != 0; }
    /** Watching, or about to. */
    bool isWatching() const { return this->watching; }
    /** When next() may give a call again; Never while one is under way. */
    Milliseconds nextAt() const { return this->pending ? Never : this->pausedUntil; }

private:
    StoreRequest newRequest(StoreOperation operation, Milliseconds now);
    StoreNews failed(StoreStatus status, Milliseconds now);
    StoreNews rangeRead(const StoreAnswer& answer, Milliseconds now);
    StoreNews watched(const StoreAnswer& answer, Milliseconds now);
    bool mustRead() const;
    /** Nothing is known yet, neither of the store nor of other instances. */
    bool isFirstReading() const { return !this->historyLost && !this->view->revision(); }

    Options options;
    StoreView* view;
    StoreCallNumbers* numbers;
    Random* random;
    Backoff backoff;
    StoreCallNumber pending = 0;
    StoreOperation pendingOperation = StoreOperation::ReadRange;
    Milliseconds sentAt = LongAgo;
    Milliseconds readingSince = LongAgo; // when the first page was asked for
    Milliseconds pausedUntil = LongAgo;
    Milliseconds readPatience; // the time-out of the next reading
    Milliseconds latency; // of the store's answers, as last measured
    bool hasBegun = false; // the moment of the first reading is drawn
    bool historyLost = false; // everything must be read before the next watch
    bool watching = false;
    std::vector<StoreItem> pages;
    bool pagesMayBeStale = false;
    StoreRevision pagesAt = 0; // through which all of them together are complete
};

}
