#pragma once

#include "Base/Milliseconds.h"
#include "Base/Random.h"
#include "Exchange/Backoff.h"
#include "Store/StoreCall.h"
#include "Store/StoreCallNumbers.h"
#include "Store/StoreItem.h"

#include <optional>
#include <string>
#include <utility>

namespace burlreach {

/**
 * Writes one item of the store, conditionally on the revision that this instance has read, one write at a time.
 *
 * Its owner schedules a check whenever the value may differ from the stored one, and passes the new value when a check
 * is due. All instances may hold one; only the leading watcher writes.
 */
class ItemWriter {
public:
    struct Options {
        std::string key;
        Milliseconds settleDelay{ 200 }; // delay after a change; further changes usually come close together
        Milliseconds recheckInterval{ 1000 }; // the leading watcher may fail before it has written
        Milliseconds answerTimeout{ 1500 };
    };

    ItemWriter(Options options, StoreCallNumbers& numbers, Random& random);

    /** Schedules a check, because the value may now differ from the stored one. */
    void scheduleCheck(Milliseconds now);
    bool isDue(Milliseconds now) const { return !this->pending && now >= this->dueAt; }
    /** Ends the check: the stored value is the right one. */
    void nothingToWrite() { this->dueAt = Never; }
    /** The write to send, if this instance leads. stored is this instance's copy of the stored item, or null. */
    std::optional<StoreRequest> write(std::string value, const StoreItem* stored, bool leads, Milliseconds now);
    /** True when the answer belongs to a call of this object. */
    bool answered(const StoreAnswer& answer, Milliseconds now);
    /** The item written and acknowledged since the last call of this function. */
    std::optional<StoreItem> takeWritten() { return std::exchange(this->written, std::nullopt); }
    Milliseconds nextDue() const { return this->pending ? Never : this->dueAt; }

private:
    Options options;
    StoreCallNumbers* numbers;
    Random* random;
    Backoff backoff;
    Milliseconds dueAt = Never;
    StoreCallNumber pending = 0;
    std::string value; // of the pending write
    std::optional<StoreItem> written;
};

}
