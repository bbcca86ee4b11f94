#pragma once

#include <cstdint>
#include <string>

namespace burlreach {

/** Orders all changes in the store; 0 is before the first change. */
using StoreRevision = std::uint64_t;

/** A key of the store with its latest value, or its removal. */
struct StoreItem {
    std::string key;
    std::string value;
    StoreRevision revision = 0; // of the item's last change
    bool removed = false;

    bool operator==(const StoreItem&) const = default;
};

}
