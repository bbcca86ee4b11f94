#include "Store/StoreView.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

/** Enough for the removals of many minutes; an instance that is further behind is sent everything. */
constexpr std::size_t MaximumRemovals = 1024;
/**
 * Earlier large values kept for each key. Instances that are sent a change normally have one of the last two values;
 * the third is for those that missed an update.
 */
constexpr std::size_t EarlierValuesKept = 3;

}

bool StoreView::apply(const StoreItem& item)
{
    const auto removal = std::find_if(this->removals.begin(), this->removals.end(),
        [&](const StoreItem& known) { return known.key == item.key && known.revision >= item.revision; });
    if (removal != this->removals.end())
        return false;
    const auto known = this->items.find(item.key);
    const bool isThere = known != this->items.end();
    if (isThere && known->second.revision >= item.revision)
        return false;
    if (item.removed) {
        this->rememberRemoval(item);
        if (isThere)
            this->items.erase(known);
        return isThere;
    }
    if (isThere) {
        this->keepEarlier(std::move(known->second));
        known->second = item;
    } else
        this->items.emplace(item.key, item);
    return true;
}

void StoreView::rememberRemoval(const StoreItem& removal)
{
    this->removals.push_back(removal);
    if (this->removals.size() <= MaximumRemovals)
        return;
    this->changesKnownSince = std::max(this->changesKnownSince, this->removals.front().revision);
    this->removals.pop_front();
}

void StoreView::keepEarlier(StoreItem item)
{
    if (item.value.size() < LargeValueBytes)
        return;
    std::deque<StoreItem>& values = this->earlier[item.key];
    values.push_back(std::move(item));
    if (values.size() > EarlierValuesKept)
        values.pop_front();
}

const StoreItem* StoreView::at(std::string_view key, StoreRevision revision) const
{
    const StoreItem* held = this->heldAt(key, revision);
    return held && held->revision == revision ? held : nullptr;
}

const StoreItem* StoreView::heldAt(std::string_view key, StoreRevision through) const
{
    const StoreItem* present = this->find(key);
    if (present && present->revision <= through)
        return present;
    const auto values = this->earlier.find(key);
    if (values == this->earlier.end())
        return nullptr;
    const auto held = std::find_if(values->second.rbegin(), values->second.rend(),
        [through](const StoreItem& item) { return item.revision <= through; });
    return held == values->second.rend() ? nullptr : &*held;
}

std::vector<StoreItem> StoreView::applyChanges(std::span<const StoreItem> changes, StoreRevision through)
{
    std::vector<StoreItem> applied;
    for (const StoreItem& change : changes) {
        if (this->apply(change))
            applied.push_back(change);
    }
    this->completeThrough = std::max(this->completeThrough, through);
    return applied;
}

std::vector<StoreItem> StoreView::replaceAll(std::span<const StoreItem> all, StoreRevision at)
{
    std::vector<std::string_view> present;
    present.reserve(all.size());
    for (const StoreItem& item : all)
        present.push_back(item.key);
    std::sort(present.begin(), present.end());
    std::vector<StoreItem> changes(all.begin(), all.end());
    for (const auto& [key, item] : this->items) {
        const bool isMissing = !std::binary_search(present.begin(), present.end(), std::string_view(key));
        if (isMissing && item.revision <= at)
            changes.push_back({ .key = key, .value = {}, .revision = at, .removed = true });
    }
    this->recordGap(at);
    return this->applyChanges(changes, at);
}

void StoreView::recordGap(StoreRevision through)
{
    if (through <= this->completeThrough)
        return;
    // Only the latest gap is kept, so changes before the end of the previous one count as unknown.
    this->changesKnownSince = std::max(this->changesKnownSince, this->gapThrough);
    this->gapAfter = this->completeThrough;
    this->gapThrough = through;
}

std::optional<std::vector<StoreItem>> StoreView::changesSince(StoreRevision revision) const
{
    const bool isInGap = revision > this->gapAfter && revision < this->gapThrough;
    if (revision < this->changesKnownSince || isInGap)
        return std::nullopt;
    std::vector<StoreItem> found;
    for (const auto& [key, item] : this->items) {
        if (item.revision > revision)
            found.push_back(item);
    }
    for (const StoreItem& removal : this->removals) {
        if (removal.revision > revision)
            found.push_back(removal);
    }
    return found;
}

std::vector<StoreItem> StoreView::all() const
{
    std::vector<StoreItem> found;
    found.reserve(this->items.size());
    for (const auto& [key, item] : this->items)
        found.push_back(item);
    return found;
}

const StoreItem* StoreView::find(std::string_view key) const
{
    const auto found = this->items.find(key);
    return found == this->items.end() ? nullptr : &found->second;
}

}
