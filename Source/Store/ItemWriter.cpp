#include "Store/ItemWriter.h"

#include <algorithm>

namespace burlreach {

ItemWriter::ItemWriter(Options givenOptions, StoreCallNumbers& givenNumbers, Random& givenRandom)
    : options(std::move(givenOptions))
    , numbers(&givenNumbers)
    , random(&givenRandom)
    , backoff({})
{
}

void ItemWriter::scheduleCheck(Milliseconds now)
{
    this->dueAt = std::min(this->dueAt, now + this->options.settleDelay);
}

std::optional<StoreRequest> ItemWriter::write(
    std::string nextValue, const StoreItem* stored, bool leads, Milliseconds now)
{
    this->dueAt = now + this->options.recheckInterval;
    if (!leads)
        return std::nullopt;
    StoreRequest request;
    request.number = this->numbers->next();
    request.operation = StoreOperation::Write;
    request.key = this->options.key;
    request.value = std::move(nextValue);
    request.expected = stored ? stored->revision : 0;
    request.timeout = this->options.answerTimeout;
    this->value = request.value;
    this->pending = request.number;
    return request;
}

bool ItemWriter::answered(const StoreAnswer& answer, Milliseconds now)
{
    if (!this->pending || answer.number != this->pending)
        return false;
    this->pending = 0;
    if (answer.status == StoreStatus::Done) {
        this->backoff.reset();
        this->written = StoreItem{
            .key = this->options.key, .value = std::move(this->value), .revision = answer.at, .removed = false
        };
        // Check again: the value may have changed during the write.
        this->scheduleCheck(now);
        return true;
    }
    // Before the next try, the watch delivers the current item: after a conflict another instance's, after a lost
    // answer possibly the one written here.
    this->dueAt = now + this->options.settleDelay + this->backoff.next(*this->random);
    return true;
}

}
