#pragma once

#include "Base/Milliseconds.h"
#include "Base/Random.h"
#include "Exchange/Backoff.h"
#include "Store/StoreCall.h"
#include "Store/StoreCallNumbers.h"
#include "Store/StoreItem.h"
#include "peers.pb.h"

#include <optional>
#include <string>
#include <utility>

namespace burlreach {

/** The key under which requests that crash servers are kept, in every form of the store. */
inline constexpr const char* CrashesKey = "burlreach/crashing-requests";

/** Encodes as protobuf JSON, because the wire format of burlreach's own store is JSON and cannot hold binary values. */
std::string writeCrashRecord(const peers::CrashNews& crashes);
/** Empty when the value is not a valid record. */
std::optional<peers::CrashNews> readCrashRecord(const std::string& value);

/**
 * Keeps the store's record of requests that crash servers up to date.
 *
 * Writes when the record differs from what this instance knows. Only the
 * leading watcher writes, conditionally on the revision that it has read, so a
 * request that crashes servers costs the whole fleet one or two store calls.
 */
class CrashRecorder {
public:
    struct Options {
        Milliseconds settleDelay{ 200 }; // delay after a change; the second and third crash usually come close together
        Milliseconds recheckInterval{ 1000 }; // the leading watcher may fail before it has written
        Milliseconds answerTimeout{ 1500 };
    };

    CrashRecorder(Options options, StoreCallNumbers& numbers, Random& random);

    /** Schedules a check, because the known crashes may now differ from the stored record. */
    void scheduleCheck(Milliseconds now);
    bool isDue(Milliseconds now) const { return !this->pending && now >= this->dueAt; }
    /** The write to send, if one is needed. stored is this instance's copy of the stored item, or null. */
    std::optional<StoreRequest> nextWrite(
        const peers::CrashNews& kept, const StoreItem* stored, bool leads, Milliseconds now);
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
