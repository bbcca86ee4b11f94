#pragma once

#include "Store/StoreView.h"
#include "peers.pb.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace burlreach {

/**
 * Encodes items of the store into messages to other instances, and decodes them
 * there. A large value is delta-compressed ("packed") against an earlier value,
 * the base, that the receiver holds, so a small change of a large document makes
 * a small message.
 */
class ItemPacker {
public:
    explicit ItemPacker(const StoreView& view);

    /** Encodes for a receiver whose store view is complete through this revision; 0: it holds nothing. */
    void write(const StoreItem& item, StoreRevision heldThrough, peers::Item& message);
    /** Decodes a message; nothing when the base is not held here or the value is damaged. */
    std::optional<StoreItem> read(const peers::Item& message) const;

private:
    /** A cached packed value: usually many instances request the same one in a row. */
    struct Packed {
        std::string key;
        StoreRevision revision = 0;
        StoreRevision base = 0;
        std::string bytes;
    };

    const std::string& packed(const StoreItem& item, const StoreItem* base);

    const StoreView* view;
    std::deque<Packed> recent; // newest last
};

}
