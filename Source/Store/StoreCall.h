#pragma once

#include "Base/Milliseconds.h"
#include "Store/StoreItem.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace burlreach {

using StoreCallNumber = std::uint64_t;

enum class StoreOperation {
    ReadRange, // reads a page of the items under a prefix
    Watch, // waits for changes under a prefix
    Write // writes one key, on condition of its revision
};

/** A call to the store. The operation determines which fields are used. */
struct StoreRequest {
    StoreCallNumber number = 0;
    StoreOperation operation = StoreOperation::ReadRange;
    std::string key; // ReadRange, Watch: the prefix; Write: the key
    std::string afterKey; // ReadRange: the last key of the previous page; empty for the first page
    bool mayBeStale = false; // ReadRange: the answer may be some seconds old, which costs the store less
    StoreRevision after = 0; // Watch: changes after this revision are wanted
    Milliseconds wait; // Watch: how long the store may wait for a change
    std::string value; // Write
    StoreRevision expected = 0; // Write: the revision that the key must have; 0: the key must be absent
    Milliseconds timeout{ 1000 }; // after this time without a byte of an answer the status is Unknown
};

enum class StoreStatus {
    Done,
    Conflict, // Write: the key did not have the expected revision; nothing was written
    HistoryLost, // Watch: the store no longer has the changes since that revision
    Refused, // the store refused the call, which had no effect
    Unknown // no answer: a write may have taken effect, or may still do so
};

/** The result of a call to the store. */
struct StoreAnswer {
    StoreCallNumber number = 0;
    StoreStatus status = StoreStatus::Unknown;
    std::vector<StoreItem> items; // ReadRange: the items of the page; Watch: the changes
    bool more = false; // ReadRange: another page follows
    StoreRevision at = 0; // ReadRange, Watch: the revision of the store; Write: the revision of the written item
};

/** The names used in log lines and metrics, such as "read_range". */
std::string_view nameOf(StoreOperation operation);
std::string_view nameOf(StoreStatus status);

inline constexpr std::size_t StoreOperationCount = 3;
inline constexpr std::size_t StoreStatusCount = 5;

}
