#include "Node/StoreKeeper.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

/** On the way from one instance to another. */
constexpr Milliseconds Transit{ 2 };
/** Of changes that are sent without being asked for: at each step of the tree a slow link takes them 8 times. */
constexpr std::size_t MostNewsBytes = 65536;

StoreItem itemOf(const peers::Item& item)
{
    return { .key = item.key(), .value = item.value(), .revision = item.revision(), .removed = item.removed() };
}

std::size_t bytesOf(const std::vector<StoreItem>& items)
{
    std::size_t bytes = 0;
    for (const StoreItem& item : items)
        bytes += item.key.size() + item.value.size();
    return bytes;
}

template <typename Items>
std::vector<StoreItem> itemsOf(const Items& items)
{
    std::vector<StoreItem> found;
    found.reserve(static_cast<std::size_t>(items.size()));
    for (const peers::Item& item : items)
        found.push_back(itemOf(item));
    return found;
}

void write(const StoreItem& item, peers::Item& message)
{
    message.set_key(item.key);
    message.set_value(item.value);
    message.set_revision(item.revision);
    message.set_removed(item.removed);
}

}

std::string_view nameOf(FactSource source)
{
    switch (source) {
    case FactSource::Store:
        return "store";
    case FactSource::News:
        return "news";
    case FactSource::Push:
        return "push";
    case FactSource::OwnWrite:
        return "own_write";
    }
    return "";
}

StoreKeeper::StoreKeeper(StoreReader::Options options, StoreListener& givenListener, StoreCallNumbers& numbers,
    Random& random, DecisionCounters& givenCounters)
    : reader(std::move(options), this->storeView, numbers, random)
    , listener(&givenListener)
    , counters(&givenCounters)
{
}

void StoreKeeper::ask(bool shouldWatch, Milliseconds now, Actions& actions)
{
    if (auto request = this->reader.next(now, shouldWatch))
        actions.emplace_back(AskStore{ .request = std::move(*request) });
}

bool StoreKeeper::answered(const StoreAnswer& answer, Milliseconds now, Actions& actions)
{
    const StoreNews news = this->reader.answered(answer, now);
    this->noteStore(answer, news.isFailure, now, actions);
    if (news.isConfirmed)
        this->confirmed = std::max(this->confirmed, news.confirmedAt);
    this->tell(news.changes, FactSource::Store, now, actions);
    return news.isConfirmed;
}

void StoreKeeper::tell(
    const std::vector<StoreItem>& changes, FactSource source, Milliseconds now, Actions& actions)
{
    if (!changes.empty())
        this->listener->itemsChanged(changes, source, now, actions);
}

void StoreKeeper::noteStore(const StoreAnswer& answer, bool isFailure, Milliseconds now, Actions& actions)
{
    this->counters->add(isFailure ? DecisionCount::StoreFailures : DecisionCount::StoreAnswers);
    this->failuresInARow = isFailure ? this->failuresInARow + 1 : 0;
    if (this->storeAnswers != isFailure)
        return;
    this->storeAnswers = !isFailure;
    DecisionRecord record{ .topic = RecordTopic::Belief,
        .event = isFailure ? "store_lost" : "store_regained",
        .subject = "store",
        .fields = {} };
    record.with("status", nameOf(answer.status))
        .with("revision", this->storeView.revision())
        .with("confirmed_age", (now - this->confirmed).count);
    actions.emplace_back(std::move(record));
}

bool StoreKeeper::takeNews(const peers::News& news, Milliseconds now, Actions& actions)
{
    if (news.store_revision() > this->storeView.revision()) {
        const bool isGapless = news.base_revision() && news.base_revision() <= this->storeView.revision();
        if (!isGapless)
            return false;
        const auto changes = this->storeView.applyChanges(itemsOf(news.changes()), news.store_revision());
        this->tell(changes, FactSource::News, now, actions);
    }
    const Milliseconds age{ static_cast<double>(news.age_milliseconds()) };
    if (news.is_confirmed())
        this->confirmed = std::max(this->confirmed, now - age - Transit);
    return true;
}

void StoreKeeper::takeWritten(const StoreItem& item, Milliseconds now, Actions& actions)
{
    const auto changes = this->storeView.applyChanges(std::span(&item, 1), this->storeView.revision());
    this->tell(changes, FactSource::OwnWrite, now, actions);
}

void StoreKeeper::takePush(const peers::Push& push, Milliseconds now, Actions& actions)
{
    if (push.store_revision() <= this->storeView.revision())
        return;
    std::vector<StoreItem> changes;
    if (!push.base_revision())
        changes = this->storeView.replaceAll(itemsOf(push.items()), push.store_revision());
    else if (push.base_revision() <= this->storeView.revision())
        changes = this->storeView.applyChanges(itemsOf(push.items()), push.store_revision());
    this->tell(changes, FactSource::Push, now, actions);
}

peers::Push StoreKeeper::pushFor(StoreRevision revision) const
{
    peers::Push push;
    push.set_store_revision(this->storeView.revision());
    const auto changes = revision ? this->storeView.changesSince(revision) : std::nullopt;
    if (changes)
        push.set_base_revision(revision);
    for (const StoreItem& item : changes ? *changes : this->storeView.all())
        write(item, *push.add_items());
    return push;
}

void StoreKeeper::fill(peers::News& news, StoreRevision since, Milliseconds now) const
{
    news.set_store_revision(this->storeView.revision());
    news.set_is_confirmed(this->confirmed != LongAgo);
    if (news.is_confirmed())
        news.set_age_milliseconds(static_cast<std::uint32_t>(std::max(0.0, (now - this->confirmed).count)));
    const auto changes = since ? this->storeView.changesSince(since) : std::nullopt;
    // The largest changes are pulled.
    if (!changes || bytesOf(*changes) > MostNewsBytes)
        return;
    news.set_base_revision(since);
    for (const StoreItem& item : *changes)
        write(item, *news.add_changes());
}

}
