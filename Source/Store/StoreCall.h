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
    ReadRange, // a page of the items under a prefix
    Watch, // waits for changes under a prefix
    Write // one key, under the condition of its revision
};

/** A call to the store. Which fields count depends on the operation. */
struct StoreRequest {
    StoreCallNumber number = 0;
    StoreOperation operation = StoreOperation::ReadRange;
    std::string key; // the prefix when reading a range or watching
    std::string afterKey; // of a range: the last key of the page before; empty for the first page
    bool mayBeStale = false; // of a range: an answer some seconds old will do, which costs the store less
    StoreRevision after = 0; // of a watch: changes up to this one are known
    Milliseconds wait; // of a watch: how long the store may wait for a change
    std::string value; // of a write
    StoreRevision expected = 0; // of a write: the revision that the key must have; 0: the key is absent
    Milliseconds timeout{ 1000 }; // without a byte of an answer for so long the outcome is unknown
};

enum class StoreStatus {
    Done,
    Conflict, // of a write: the condition did not hold; nothing was written
    HistoryLost, // of a watch: the store no longer knows the changes since then
    Refused, // the store turned the call away, which had no effect
    Unknown // no answer: a write may have taken effect, or still may
};

/** What became of a call to the store. */
struct StoreAnswer {
    StoreCallNumber number = 0;
    StoreStatus status = StoreStatus::Unknown;
    std::vector<StoreItem> items; // of a range or a watch
    bool more = false; // of a range: another page follows
    StoreRevision at = 0; // the revision that the answer shows; after a write that of the write
};

/** Names as they stand in log lines and metrics, such as "read_range". */
std::string_view nameOf(StoreOperation operation);
std::string_view nameOf(StoreStatus status);

inline constexpr std::size_t StoreOperationCount = 3;
inline constexpr std::size_t StoreStatusCount = 5;

}
