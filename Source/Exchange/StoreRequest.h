#pragma once

#include <cstdint>
#include <string>

namespace burlreach {

using StoreCallNumber = std::uint64_t;

/** The documents that are kept in the platform's key-value service. */
enum class StoreDocument {
    Configuration,
    Ownership
};

enum class StoreOperation {
    Read,
    Write // compare-and-swap on the index
};

/** The index of a document that does not exist yet. */
inline constexpr std::uint64_t NoStoreIndex = 0;

/** A call to the platform's key-value service. */
struct StoreRequest {
    StoreCallNumber number = 0;
    StoreOperation operation = StoreOperation::Read;
    StoreDocument document = StoreDocument::Configuration;
    std::string value;
    std::uint64_t expectedIndex = NoStoreIndex;
};

enum class StoreStatus {
    Done, // read or written
    Missing, // read: there is no such document
    Conflict, // write: the index moved on; nothing was written
    Refused, // the service refused the call, which had no effect
    Unknown // no answer: a write may have taken effect or still may
};

/** What became of a call to the platform's key-value service. */
struct StoreAnswer {
    StoreCallNumber number = 0;
    StoreStatus status = StoreStatus::Unknown;
    std::uint64_t index = NoStoreIndex;
    std::string value;
};

}
