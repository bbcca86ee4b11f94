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
/** Ranges of changes that were applied ahead; more come only when an earlier change is lost, which is then pulled. */
constexpr std::size_t MaximumRangesAhead = 64;

}

bool StoreView::apply(const StoreItem& item)
{
    const auto removal = this->removedAt.find(item.key);
    if (removal != this->removedAt.end() && removal->second >= item.revision)
        return false;
    const auto known = this->items.find(item.key);
    const bool isThere = known != this->items.end();
    if (isThere && known->second.revision >= item.revision)
        return false;
    if (isThere)
        this->byRevision.erase({ known->second.revision, known->first });
    if (item.removed) {
        this->rememberRemoval(item);
        if (isThere)
            this->items.erase(known);
        return isThere;
    }
    if (isThere) {
        this->keepEarlier(std::move(known->second));
        known->second = item;
        this->byRevision.emplace(item.revision, known->first);
    } else {
        const auto added = this->items.emplace(item.key, item).first;
        this->byRevision.emplace(item.revision, added->first);
    }
    return true;
}

void StoreView::rememberRemoval(const StoreItem& removal)
{
    this->removals.push_back(removal);
    StoreRevision& latest = this->removedAt[removal.key];
    latest = std::max(latest, removal.revision);
    if (this->removals.size() <= MaximumRemovals)
        return;
    const StoreItem& oldest = this->removals.front();
    this->changesKnownSince = std::max(this->changesKnownSince, oldest.revision);
    const auto known = this->removedAt.find(oldest.key);
    if (known != this->removedAt.end() && known->second == oldest.revision)
        this->removedAt.erase(known);
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
    this->joinAppliedAhead();
    return applied;
}

void StoreView::recordAppliedAhead(StoreRevision base, StoreRevision through)
{
    this->appliedAhead.emplace_back(base, through);
    if (this->appliedAhead.size() > MaximumRangesAhead)
        this->appliedAhead.pop_front();
    this->joinAppliedAhead();
}

void StoreView::joinAppliedAhead()
{
    bool isExtended = true;
    while (isExtended) {
        isExtended = false;
        for (const auto& [base, through] : this->appliedAhead) {
            if (base > this->completeThrough || through <= this->completeThrough)
                continue;
            this->completeThrough = through;
            isExtended = true;
        }
    }
    std::erase_if(this->appliedAhead, [this](const auto& range) { return range.second <= this->completeThrough; });
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
    const auto first = this->byRevision.lower_bound({ revision + 1, std::string_view() });
    for (auto item = first; item != this->byRevision.end(); ++item)
        found.push_back(this->items.find(item->second)->second);
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
