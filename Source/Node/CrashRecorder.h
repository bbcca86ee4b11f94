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

/** As text, in the JSON mapping: the store's own form holds no other bytes. */
std::string writeKeptCrashes(const peers::CrashNews& crashes);
/** Nothing when the value was not written by an instance. */
std::optional<peers::CrashNews> readKeptCrashes(const std::string& value);

/**
 * Writes requests under which servers ended into the store, when what is there
 * differs. Only the leading watcher writes, under the condition of the revision
 * that it knows; so one request that crashes servers costs the fleet one or two
 * calls.
 */
class CrashRecorder {
public:
    struct Options {
        Milliseconds settle{ 200 }; // after a change: the second and the third end mostly come together
        Milliseconds recheck{ 1000 }; // the leading watcher may be lost before it has written
        Milliseconds answerTimeout{ 1500 };
    };

    CrashRecorder(Options options, StoreCallNumbers& numbers, Random& random);

    /** What is to be kept may differ from what the store holds. */
    void changed(Milliseconds now);
    bool isDue(Milliseconds now) const { return !this->pending && now >= this->dueAt; }
    /** The call, if one is needed; stored is the item in the store as known here, or null. */
    std::optional<StoreRequest> next(
        const peers::CrashNews& kept, const StoreItem* stored, bool leads, Milliseconds now);
    /** True when the answer belonged to a call of this object. */
    bool answered(const StoreAnswer& answer, Milliseconds now);
    /** What was written and acknowledged since the last call. */
    std::optional<StoreItem> takeWritten() { return std::exchange(this->written, std::nullopt); }
    Milliseconds nextDue() const { return this->pending ? Never : this->dueAt; }

private:
    Options options;
    StoreCallNumbers* numbers;
    Random* random;
    Backoff backoff;
    Milliseconds dueAt = Never;
    StoreCallNumber pending = 0;
    std::string value; // being written
    std::optional<StoreItem> written;
};

}
