#include "Node/ItemPacker.h"

#include "Store/ValuePacking.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

/** Size of the cache: a document packed against each of its kept earlier values, and without a base. */
constexpr std::size_t PackedCacheSize = 4;

}

ItemPacker::ItemPacker(const StoreView& givenView)
    : view(&givenView)
{
}

const std::string& ItemPacker::packed(const StoreItem& item, const StoreItem* base)
{
    const StoreRevision baseRevision = base ? base->revision : 0;
    const auto known = std::find_if(this->recent.begin(), this->recent.end(), [&](const Packed& candidate) {
        return candidate.key == item.key && candidate.revision == item.revision && candidate.base == baseRevision;
    });
    if (known != this->recent.end())
        return known->bytes;
    this->recent.push_back({ .key = item.key,
        .revision = item.revision,
        .base = baseRevision,
        .bytes = packValue(item.value, base ? std::string_view(base->value) : std::string_view()) });
    if (this->recent.size() > PackedCacheSize)
        this->recent.pop_front();
    return this->recent.back().bytes;
}

void ItemPacker::write(const StoreItem& item, StoreRevision heldThrough, peers::Item& message)
{
    message.set_key(item.key);
    message.set_revision(item.revision);
    message.set_removed(item.removed);
    if (item.value.size() < LargeValueBytes) {
        message.set_value(item.value);
        return;
    }
    const StoreItem* base = heldThrough ? this->view->heldAt(item.key, heldThrough) : nullptr;
    const std::string& bytes = this->packed(item, base);
    if (bytes.empty()) {
        message.set_value(item.value);
        return;
    }
    message.set_value(bytes);
    message.set_is_packed(true);
    message.set_base_revision(base ? base->revision : 0);
    message.set_plain_bytes(static_cast<std::uint32_t>(item.value.size()));
}

std::optional<StoreItem> ItemPacker::read(const peers::Item& message) const
{
    StoreItem item{ .key = message.key(), .value = {}, .revision = message.revision(), .removed = message.removed() };
    if (!message.is_packed()) {
        item.value = message.value();
        return item;
    }
    const StoreItem* base = message.base_revision() ? this->view->at(message.key(), message.base_revision()) : nullptr;
    if (message.base_revision() && !base)
        return std::nullopt;
    auto value = unpackValue(
        message.value(), base ? std::string_view(base->value) : std::string_view(), message.plain_bytes());
    if (!value)
        return std::nullopt;
    item.value = std::move(*value);
    return item;
}

}
