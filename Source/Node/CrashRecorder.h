#pragma once

#include "Base/Milliseconds.h"
#include "Base/Random.h"
#include "Store/ItemWriter.h"
#include "Store/StoreCall.h"
#include "Store/StoreCallNumbers.h"
#include "Store/StoreItem.h"
#include "peers.pb.h"

#include <optional>
#include <string>

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
    CrashRecorder(StoreCallNumbers& numbers, Random& random);

    /** Schedules a check, because the known crashes may now differ from the stored record. */
    void scheduleCheck(Milliseconds now) { this->writer.scheduleCheck(now); }
    bool isDue(Milliseconds now) const { return this->writer.isDue(now); }
    /** The write to send, if one is needed. stored is this instance's copy of the stored item, or null. */
    std::optional<StoreRequest> nextWrite(
        const peers::CrashNews& kept, const StoreItem* stored, bool leads, Milliseconds now);
    /** True when the answer belongs to a call of this object. */
    bool answered(const StoreAnswer& answer, Milliseconds now) { return this->writer.answered(answer, now); }
    /** The item written and acknowledged since the last call of this function. */
    std::optional<StoreItem> takeWritten() { return this->writer.takeWritten(); }
    Milliseconds nextDue() const { return this->writer.nextDue(); }

private:
    ItemWriter writer;
};

}
