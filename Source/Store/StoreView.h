#pragma once

#include "Store/StoreItem.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace burlreach {

/** Longer values are large: they are sent packed, after small ones, and translated apart from other decisions. */
inline constexpr std::size_t LargeValueBytes = 16384;

/**
 * This instance's copy of the watched part of the store, with the revision
 * through which it is complete.
 *
 * Whoever tells a change, the higher revision of a key wins, so an older fact
 * never replaces a newer one. Removed keys are remembered for a while, so that
 * other instances can be given just what changed. A change may be taken before
 * earlier ones are known; the view is then not complete through it. The last
 * few large values of a key are kept, to pack later ones against.
 */
class StoreView {
public:
    /** Takes changes that are complete between the two revisions; gives those that were news. */
    std::vector<StoreItem> applyChanges(std::span<const StoreItem> changes, StoreRevision through);

    /**
     * Takes all items as they were read. Keys that are missing and were last
     * changed at or before the revision count as removed.
     */
    std::vector<StoreItem> replaceAll(std::span<const StoreItem> all, StoreRevision at);

    /** Nothing when the changes since that revision are no longer known one by one. */
    std::optional<std::vector<StoreItem>> changesSince(StoreRevision revision) const;
    std::vector<StoreItem> all() const;

    /** Null when the key is absent or removed. */
    const StoreItem* find(std::string_view key) const;
    /** The value that a key got at this revision, when it is its value now or one of its last large ones; else null. */
    const StoreItem* at(std::string_view key, StoreRevision revision) const;
    /** What whoever is complete through this revision has of the key, as far as it is kept here; else null. */
    const StoreItem* heldAt(std::string_view key, StoreRevision through) const;
    StoreRevision revision() const { return this->completeThrough; }
    std::size_t size() const { return this->items.size(); }

private:
    bool take(const StoreItem& item);
    void remember(const StoreItem& removal);
    /** A large value that is about to be replaced. */
    void keepEarlier(StoreItem item);
    /** A reading leads to this revision; keys may have come and gone on the way. */
    void noteGap(StoreRevision through);

    std::map<std::string, StoreItem, std::less<>> items;
    std::deque<StoreItem> removals; // in the order in which they were heard
    std::map<std::string, std::deque<StoreItem>, std::less<>> earlier; // large values by key, the latest last
    StoreRevision changesKnownSince = 0;
    StoreRevision gapAfter = 0; // between these two the changes are not known one by one,
    StoreRevision gapThrough = 0; // but all that follows from the first of them is
    StoreRevision completeThrough = 0;
};

}
