#pragma once

#include <cstdint>
#include <string>

namespace burlreach {

/** Orders every change in the store; 0 stands before the first one. */
using StoreRevision = std::uint64_t;

/** A key of the store with its latest value, or the news that it was removed. */
struct StoreItem {
    std::string key;
    std::string value;
    StoreRevision revision = 0; // of the item's last change
    bool removed = false;

    bool operator==(const StoreItem&) const = default;
};

}
