#include "Node/StoreSynchronizer.h"

#include "Store/ValuePacking.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

/**
 * Without confirmation for longer than this the store counts as unavailable. An instance that receives no updates calls
 * the store itself within 1.7 s.
 */
constexpr Milliseconds StoreUnavailableAfter{ 2500 };
/**
 * How long after a store outage removed records are kept. According to the users
 * of burlreach, running backend servers have written their records again by
 * then. It is shorter than the 3 s within which an instance must be current after
 * a failure.
 */
constexpr Milliseconds LapsedRecordLifetime{ 2000 };
/** Assumed network latency from one instance to another. */
constexpr Milliseconds PeerLatency{ 2 };
/**
 * Maximum size of the changes in a gossip update. At each step of the tree an
 * instance sends them up to 8 times, which takes 0.1 s on a link of 10 Mbit/s.
 */
constexpr std::size_t MaxUpdateChangeBytes = 16384;

/** Updates whose changes are awaited; the watchers send some eight a second. */
constexpr std::size_t MaxPendingConfirmations = 64;

/** Shorter lists of items are sent uncompressed. */
constexpr std::size_t MinPackedBytes = 4096;

std::size_t bytesOf(const peers::News& news)
{
    std::size_t bytes = 0;
    for (const peers::Item& item : news.changes())
        bytes += item.ByteSizeLong();
    return bytes;
}

}

StoreSynchronizer::StoreSynchronizer(StoreReader::Options options, StoreListener& givenListener,
    StoreCallNumbers& numbers, Random& random, DecisionCounters& givenCounters)
    : reader(std::move(options), this->storeView, numbers, random)
    , listener(&givenListener)
    , counters(&givenCounters)
{
}

void StoreSynchronizer::callIfDue(bool shouldWatch, Milliseconds now, Actions& actions)
{
    if (auto request = this->reader.next(now, shouldWatch))
        actions.emplace_back(CallStore{ .request = std::move(*request) });
}

bool StoreSynchronizer::answered(const StoreAnswer& answer, Milliseconds now, Actions& actions)
{
    const StoreUpdate news = this->reader.answered(answer, now);
    this->recordCallResult(answer, news.isFailure, now, actions);
    if (news.isConfirmed)
        this->markConfirmed(news.confirmedAt, now);
    if (news.isStaleReading)
        this->lastFullReadAt = now;
    this->notifyListener(news.changes, ChangeSource::Store, now, actions);
    return news.isConfirmed;
}

void StoreSynchronizer::notifyListener(
    const std::vector<StoreItem>& changes, ChangeSource source, Milliseconds now, Actions& actions)
{
    if (!changes.empty())
        this->listener->itemsChanged(changes, source, now, actions);
}

void StoreSynchronizer::recordCallResult(const StoreAnswer& answer, bool isFailure, Milliseconds now, Actions& actions)
{
    this->counters->add(isFailure ? DecisionCount::StoreFailures : DecisionCount::StoreAnswers);
    this->failuresInARow = isFailure ? this->failuresInARow + 1 : 0;
    if (this->isStoreAnswering != isFailure)
        return;
    this->isStoreAnswering = !isFailure;
    DecisionRecord record{ .topic = RecordTopic::Knowledge,
        .event = isFailure ? "store_lost" : "store_regained",
        .subject = "store",
        .fields = {} };
    record.with("status", nameOf(answer.status))
        .with("revision", this->storeView.revision())
        .with("confirmed_age", (now - this->lastConfirmedAt).count);
    actions.emplace_back(std::move(record));
}

std::vector<StoreItem> StoreSynchronizer::decodeItems(
    const google::protobuf::RepeatedPtrField<peers::Item>& messages, bool& areAllRead, Actions& actions) const
{
    std::vector<StoreItem> items;
    items.reserve(static_cast<std::size_t>(messages.size()));
    for (const peers::Item& message : messages) {
        auto item = this->packer.read(message);
        if (item) {
            items.push_back(std::move(*item));
            continue;
        }
        areAllRead = false;
        // The caller requests the value again; this instance may simply no longer hold the base.
        actions.emplace_back(knowledgeRecord("value_not_unpacked", message.key())
                                 .with("revision", message.revision())
                                 .with("packed_against", message.base_revision())
                                 .with("have", this->storeView.revision()));
    }
    return items;
}

bool StoreSynchronizer::applyUpdate(const peers::News& news, Milliseconds now, Actions& actions)
{
    if (news.store_revision() > this->storeView.revision()) {
        bool areAllRead = news.base_revision() && !news.large_changes_follow();
        const std::vector<StoreItem> items = this->decodeItems(news.changes(), areAllRead, actions);
        // Changes are applied even when earlier ones are missing, so that a server's leaving takes effect without
        // waiting for a large document.
        this->notifyListener(
            this->storeView.applyChanges(items, this->storeView.revision()), ChangeSource::News, now, actions);
        if (areAllRead)
            this->storeView.recordAppliedAhead(news.base_revision(), news.store_revision());
    }
    const Milliseconds age{ static_cast<double>(news.age_milliseconds()) };
    if (news.is_confirmed())
        this->pendingConfirmations.push_back({ .revision = news.store_revision(), .at = now - age - PeerLatency });
    if (this->pendingConfirmations.size() > MaxPendingConfirmations)
        this->pendingConfirmations.pop_front();
    this->settleConfirmations(now);
    return news.store_revision() <= this->storeView.revision();
}

void StoreSynchronizer::settleConfirmations(Milliseconds now)
{
    std::erase_if(this->pendingConfirmations, [&](const Confirmation& confirmation) {
        const bool isHere = confirmation.revision <= this->storeView.revision();
        if (isHere)
            this->markConfirmed(confirmation.at, now);
        return isHere;
    });
}

void StoreSynchronizer::markConfirmed(Milliseconds at, Milliseconds now)
{
    if (this->isStoreUnavailable(now))
        this->outageEndedAt = now;
    this->lastConfirmedAt = std::max(this->lastConfirmedAt, at);
}

Milliseconds StoreSynchronizer::lapseDeadline(Milliseconds now) const
{
    // The first changes after an outage are applied before the view is confirmed, so the outage may not have ended yet.
    return (this->isStoreUnavailable(now) ? now : this->outageEndedAt) + LapsedRecordLifetime;
}

bool StoreSynchronizer::isStoreUnavailable(Milliseconds now) const
{
    return this->lastConfirmedAt != LongAgo && now - this->lastConfirmedAt > StoreUnavailableAfter;
}

void StoreSynchronizer::applyWritten(const StoreItem& item, Milliseconds now, Actions& actions)
{
    const auto changes = this->storeView.applyChanges(std::span(&item, 1), this->storeView.revision());
    this->notifyListener(changes, ChangeSource::OwnWrite, now, actions);
}

bool StoreSynchronizer::applyPush(const peers::Push& push, Milliseconds now, Actions& actions)
{
    if (push.store_revision() <= this->storeView.revision())
        return true;
    bool areAllRead = true;
    peers::ItemList unpacked;
    if (!push.packed_items().empty()) {
        const auto plain = unpackValue(push.packed_items(), {}, push.plain_bytes());
        areAllRead = plain && unpacked.ParseFromString(*plain);
    }
    if (!areAllRead) {
        actions.emplace_back(knowledgeRecord("push_not_unpacked", "store").with("revision", push.store_revision()));
        return false;
    }
    const auto& messages = push.packed_items().empty() ? push.items() : unpacked.items();
    const std::vector<StoreItem> items = this->decodeItems(messages, areAllRead, actions);
    const bool isEverything = !push.base_revision() && areAllRead;
    if (isEverything)
        this->lastFullReadAt = now;
    this->notifyListener(isEverything ? this->storeView.replaceAll(items, push.store_revision())
                                      : this->storeView.applyChanges(items, this->storeView.revision()),
        ChangeSource::Push, now, actions);
    if (areAllRead && !isEverything)
        this->storeView.recordAppliedAhead(push.base_revision(), push.store_revision());
    this->settleConfirmations(now);
    return areAllRead;
}

peers::Push StoreSynchronizer::pushFor(const peers::Pull& pull)
{
    peers::Push push;
    push.set_store_revision(this->storeView.revision());
    const StoreRevision since = pull.store_revision();
    if (!since)
        return this->fullPush();
    const auto changes = this->storeView.changesSince(since);
    if (!changes)
        return this->fullPush();
    this->counters->add(DecisionCount::ChangesPacked);
    push.set_base_revision(since);
    for (const StoreItem& item : *changes)
        this->packer.write(item, pull.by_themselves() ? 0 : since, *push.add_items());
    pack(push);
    return push;
}

peers::Push StoreSynchronizer::fullPush()
{
    if (this->fullPushCache.store_revision() == this->storeView.revision())
        return this->fullPushCache;
    this->counters->add(DecisionCount::ChangesPacked);
    peers::Push push;
    push.set_store_revision(this->storeView.revision());
    for (const StoreItem& item : this->storeView.all())
        this->packer.write(item, 0, *push.add_items());
    pack(push);
    this->fullPushCache = push;
    return push;
}

void StoreSynchronizer::pack(peers::Push& push)
{
    peers::ItemList list;
    list.mutable_items()->Swap(push.mutable_items());
    const std::string plain = list.SerializeAsString();
    const std::string packed = plain.size() < MinPackedBytes ? std::string() : packValue(plain, {});
    if (packed.empty()) {
        list.mutable_items()->Swap(push.mutable_items());
        return;
    }
    push.set_packed_items(packed);
    push.set_plain_bytes(static_cast<std::uint32_t>(plain.size()));
}

peers::Push StoreSynchronizer::pushAfterUpdate(const peers::News& news)
{
    peers::Pull since;
    since.set_store_revision(news.base_revision());
    peers::Push push = this->pushFor(since);
    push.set_is_unasked(true);
    return push;
}

void StoreSynchronizer::fillUpdate(peers::News& news, StoreRevision since, Milliseconds now)
{
    news.set_store_revision(this->storeView.revision());
    news.set_is_confirmed(this->lastConfirmedAt != LongAgo);
    if (news.is_confirmed())
        news.set_age_milliseconds(static_cast<std::uint32_t>(std::max(0.0, (now - this->lastConfirmedAt).count)));
    const auto changes = since ? this->storeView.changesSince(since) : std::nullopt;
    if (!changes)
        return;
    news.set_base_revision(since);
    for (const StoreItem& item : *changes)
        this->packer.write(item, since, *news.add_changes());
    if (bytesOf(news) <= MaxUpdateChangeBytes)
        return;
    news.set_large_changes_follow(true);
    auto& items = *news.mutable_changes();
    items.erase(std::remove_if(items.begin(), items.end(), [](const peers::Item& item) { return item.is_packed(); }),
        items.end());
    // Too many small changes for one update: all of them follow in the push.
    if (bytesOf(news) > MaxUpdateChangeBytes)
        items.Clear();
}

}
