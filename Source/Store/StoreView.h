#pragma once

#include "Store/StoreItem.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace burlreach {

/** Values of at least this size are sent compressed, after the small ones, and translated outside of Node. */
inline constexpr std::size_t LargeValueBytes = 16384;

/**
 * This instance's copy of the watched part of the store, with the revision up to which it is complete.
 *
 * Of two changes of a key the one with the higher revision wins, in whatever order and from whichever source they
 * arrive. Removals are kept for a while, so that other instances can be sent only what changed. A change may be applied
 * before earlier ones are known; the view is then not complete up to its revision. The last large values of each key
 * are kept as bases for the compression of later values.
 */
class StoreView {
public:
    StoreView() = default;
    ~StoreView() = default;
    StoreView(const StoreView&) = delete; // the index refers to the keys, which a move does not change
    StoreView& operator=(const StoreView&) = delete;
    StoreView(StoreView&&) = default;
    StoreView& operator=(StoreView&&) = default;

    /**
     * Applies changes that are complete from revision() to `through`; returns those that changed the view. With
     * `through` at or below revision(), the changes may be incomplete.
     */
    std::vector<StoreItem> applyChanges(std::span<const StoreItem> changes, StoreRevision through);

    /**
     * Records that all changes after `base` up to `through` were applied, while earlier ones were missing. The view is
     * complete up to `through` once it is complete up to `base`.
     */
    void recordAppliedAhead(StoreRevision base, StoreRevision through);

    /**
     * Applies a complete reading of all items; returns the changes to the view. Keys that are missing from it and were
     * last changed at or before the revision are removed.
     */
    std::vector<StoreItem> replaceAll(std::span<const StoreItem> all, StoreRevision at);

    /** All changes after the revision; nullopt if they are no longer known one by one. */
    std::optional<std::vector<StoreItem>> changesSince(StoreRevision revision) const;
    std::vector<StoreItem> all() const;

    /** Null if the key is absent or removed. */
    const StoreItem* find(std::string_view key) const;
    /** The value that the key got at this revision; null unless it is the present value or a kept earlier one. */
    const StoreItem* at(std::string_view key, StoreRevision revision) const;
    /**
     * The latest value of the key up to this revision, which is the one of an instance that is complete up to it; null
     * unless it is the present value or a kept earlier one.
     */
    const StoreItem* heldAt(std::string_view key, StoreRevision through) const;
    StoreRevision revision() const { return this->completeThrough; }
    std::size_t size() const { return this->items.size(); }

private:
    bool apply(const StoreItem& item);
    void rememberRemoval(const StoreItem& removal);
    /** Keeps a value that is about to be replaced, if it is large. */
    void keepEarlier(StoreItem item);
    /** Extends the revision up to which the view is complete by the changes that were applied ahead. */
    void joinAppliedAhead();
    /** Records that a reading skips to this revision: keys that were added and removed on the way are unknown. */
    void recordGap(StoreRevision through);

    std::map<std::string, StoreItem, std::less<>> items;
    /** The items in the order of their revisions; the keys are those of `items`. */
    std::set<std::pair<StoreRevision, std::string_view>> byRevision;
    std::deque<StoreItem> removals; // in order of arrival
    std::unordered_map<std::string, StoreRevision> removedAt; // the highest revision of a key in `removals`
    std::map<std::string, std::deque<StoreItem>, std::less<>> earlier; // large values by key, the latest last
    StoreRevision changesKnownSince = 0; // earlier changes are not known one by one
    /**
     * The latest gap. An instance that is complete up to exactly gapAfter can be sent the changes since then, one that
     * is complete up to a revision within the gap cannot: it may have keys that were added and removed in the gap.
     */
    StoreRevision gapAfter = 0;
    StoreRevision gapThrough = 0;
    StoreRevision completeThrough = 0;
    /** Changes after the first revision up to the second, all applied, that were received before earlier ones. */
    std::deque<std::pair<StoreRevision, StoreRevision>> appliedAhead;
};

}
