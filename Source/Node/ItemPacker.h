#pragma once

#include "Store/StoreView.h"
#include "peers.pb.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace burlreach {

/**
 * Writes items of the store into messages to other instances and reads them
 * there. Large values are packed against the value that the receiver holds,
 * so a small change of a large document is a small message.
 */
class ItemPacker {
public:
    explicit ItemPacker(const StoreView& view);

    /** For a receiver that is complete through this revision; 0: it holds nothing. */
    void write(const StoreItem& item, StoreRevision heldThrough, peers::Item& message);
    /** Nothing when the value was packed against one that is not held here, or is damaged. */
    std::optional<StoreItem> read(const peers::Item& message) const;

private:
    /** A packed value is asked for by many instances in a row. */
    struct Packed {
        std::string key;
        StoreRevision revision = 0;
        StoreRevision base = 0;
        std::string bytes;
    };

    const std::string& packed(const StoreItem& item, const StoreItem* base);

    const StoreView* view;
    std::deque<Packed> recent; // the latest last
};

}
