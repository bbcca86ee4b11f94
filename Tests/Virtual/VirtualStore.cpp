#include "Tests/Virtual/VirtualStore.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

constexpr Milliseconds SlowLatency{ 500 };
/** Bytes sent for each byte of a value, since the store's answers carry values encoded as text. */
constexpr double BytesOfTextForOne = 1.34;

}

std::size_t bytesOf(const StoreAnswer& answer)
{
    std::size_t bytes = 0;
    for (const StoreItem& item : answer.items)
        bytes += item.key.size() + item.value.size();
    return static_cast<std::size_t>(static_cast<double>(bytes) * BytesOfTextForOne);
}

VirtualStore::VirtualStore(Options givenOptions, VirtualTime& givenTime)
    : options(givenOptions)
    , time(&givenTime)
{
}

void VirtualStore::reply(const Answer& answer, StoreAnswer given)
{
    const Milliseconds latency = this->fault == StoreFault::Slow ? SlowLatency : this->options.latency;
    const Milliseconds sent = this->throughLink(bytesOf(given));
    this->time->after(latency * 0.5 + sent, [answer, given = std::move(given)] { answer(given); });
}

Milliseconds VirtualStore::throughLink(std::size_t bytes)
{
    if (this->options.linkBytesPerMillisecond <= 0)
        return {};
    const Milliseconds now = this->time->now();
    const Milliseconds span{ static_cast<double>(bytes) / this->options.linkBytesPerMillisecond };
    this->linkBusyUntil = std::max(this->linkBusyUntil, now) + span;
    return this->linkBusyUntil - now;
}

void VirtualStore::call(const std::string& instance, const StoreRequest& request, Answer answer)
{
    ++this->callCount;
    this->staleCount += request.mayBeStale ? 1 : 0;
    ++this->byOperation[request.operation];
    if (this->fault == StoreFault::Silent)
        return;
    if (this->fault == StoreFault::Down || this->isTurnedAway(instance)) {
        StoreAnswer refused;
        refused.number = request.number;
        refused.status = StoreStatus::Refused;
        return this->reply(answer, refused);
    }
    this->time->after(this->options.latency * 0.5,
        [this, instance, request, answer = std::move(answer)] { this->serve(instance, request, answer); });
}

void VirtualStore::serve(const std::string& instance, const StoreRequest& request, const Answer& answer)
{
    if (request.operation == StoreOperation::Watch)
        return this->watch(instance, request, answer);
    const StoreAnswer given = request.operation == StoreOperation::Write ? this->write(request) : this->range(request);
    if (this->fault != StoreFault::LosesAnswers)
        this->reply(answer, given);
}

StoreAnswer VirtualStore::range(const StoreRequest& request) const
{
    StoreAnswer answer;
    answer.number = request.number;
    answer.status = StoreStatus::Done;
    const bool isStale = request.mayBeStale && !this->states.empty();
    answer.at = isStale ? this->staleState().revision : this->last;
    for (const auto& [key, item] : isStale ? this->staleState().items : this->items) {
        if (!key.starts_with(request.key) || (!request.afterKey.empty() && key <= request.afterKey))
            continue;
        answer.more = answer.items.size() == this->options.page;
        if (answer.more)
            break;
        answer.items.push_back(item);
    }
    return answer;
}

const VirtualStore::State& VirtualStore::staleState() const
{
    const Milliseconds shown = this->time->now() - this->options.staleBehind;
    const auto found = std::find_if(
        this->states.rbegin(), this->states.rend(), [shown](const State& state) { return state.since <= shown; });
    return found == this->states.rend() ? this->states.front() : *found;
}

void VirtualStore::keepState()
{
    if (this->options.staleBehind > Milliseconds{})
        this->states.push_back({ .items = this->items, .revision = this->last, .since = this->time->now() });
}

StoreAnswer VirtualStore::write(const StoreRequest& request)
{
    StoreAnswer answer;
    answer.number = request.number;
    const auto found = this->items.find(request.key);
    const StoreRevision present = found == this->items.end() ? 0 : found->second.revision;
    if (present != request.expected) {
        answer.status = StoreStatus::Conflict;
        return answer;
    }
    answer.status = StoreStatus::Done;
    answer.at = this->put(request.key, request.value);
    return answer;
}

std::vector<StoreItem> VirtualStore::eventsFor(const StoreRequest& request) const
{
    std::vector<StoreItem> events;
    for (const StoreItem& item : this->history) {
        if (item.revision > request.after && item.key.starts_with(request.key))
            events.push_back(item);
    }
    return events;
}

void VirtualStore::watch(const std::string& instance, const StoreRequest& request, const Answer& answer)
{
    StoreAnswer given;
    given.number = request.number;
    if (request.after < this->forgottenThrough) {
        given.status = StoreStatus::HistoryLost;
        return this->reply(answer, given);
    }
    given.status = StoreStatus::Done;
    given.at = this->last;
    given.items = this->eventsFor(request);
    if (!given.items.empty())
        return this->reply(answer, given);
    const std::uint64_t number = ++this->lastWatch;
    this->watches.push_back({ .number = number, .instance = instance, .request = request, .answer = answer });
    this->time->after(request.wait, [this, number] {
        const auto found = std::find_if(this->watches.begin(), this->watches.end(),
            [number](const Waiting& waiting) { return waiting.number == number; });
        if (found == this->watches.end())
            return;
        StoreAnswer quiet;
        quiet.number = found->request.number;
        quiet.status = StoreStatus::Done;
        quiet.at = this->last;
        const Answer toTell = found->answer;
        this->watches.erase(found);
        if (this->fault == StoreFault::None || this->fault == StoreFault::Slow)
            this->reply(toTell, quiet);
    });
}

void VirtualStore::wakeWatches()
{
    if (this->fault != StoreFault::None && this->fault != StoreFault::Slow)
        return;
    std::vector<Waiting> still;
    for (const Waiting& waiting : this->watches) {
        StoreAnswer given;
        given.number = waiting.request.number;
        given.status = StoreStatus::Done;
        given.at = this->last;
        given.items = this->eventsFor(waiting.request);
        if (given.items.empty())
            still.push_back(waiting);
        else
            this->reply(waiting.answer, given);
    }
    this->watches = std::move(still);
}

void VirtualStore::note(const StoreItem& item)
{
    this->history.push_back(item);
    this->wakeWatches();
}

StoreRevision VirtualStore::put(const std::string& key, const std::string& value)
{
    const StoreItem item{ .key = key, .value = value, .revision = ++this->last, .removed = false };
    this->items[key] = item;
    this->keepState();
    this->note(item);
    return this->last;
}

void VirtualStore::remove(const std::string& key)
{
    if (!this->items.erase(key))
        return;
    const StoreItem removal{ .key = key, .value = {}, .revision = ++this->last, .removed = true };
    this->keepState();
    this->note(removal);
}

void VirtualStore::forgetHistory()
{
    this->history.clear();
    this->forgottenThrough = this->last;
    for (const Waiting& waiting : this->watches) {
        StoreAnswer cut;
        cut.number = waiting.request.number;
        cut.status = StoreStatus::Unknown;
        this->reply(waiting.answer, cut);
    }
    this->watches.clear();
}

void VirtualStore::setFault(StoreFault next)
{
    this->fault = next;
    this->wakeWatches();
}

void VirtualStore::setTurnedAway(const std::string& instance, bool isAway)
{
    if (!isAway) {
        this->turnedAway.erase(instance);
        return;
    }
    this->turnedAway.insert(instance);
    std::erase_if(this->watches, [&](const Waiting& waiting) { return waiting.instance == instance; });
}

}
