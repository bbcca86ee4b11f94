#include "Store/StoreReader.h"

#include <algorithm>
#include <utility>

namespace burlreach {

StoreReader::StoreReader(
    Options givenOptions, StoreView& givenView, StoreCallNumbers& givenNumbers, Random& givenRandom)
    : options(std::move(givenOptions))
    , view(&givenView)
    , numbers(&givenNumbers)
    , random(&givenRandom)
    , backoff(this->options.backoff)
    , currentReadTimeout(this->options.readTimeout)
{
}

StoreRequest StoreReader::newRequest(StoreOperation operation, Milliseconds now)
{
    StoreRequest request;
    request.number = this->numbers->next();
    request.operation = operation;
    request.key = this->options.prefix;
    request.timeout = this->currentReadTimeout;
    this->pending = request.number;
    this->pendingOperation = operation;
    this->sentAt = now;
    return request;
}

std::optional<StoreRequest> StoreReader::next(Milliseconds now, bool shouldWatch)
{
    this->watching = shouldWatch;
    if (!this->hasStarted) {
        this->hasStarted = true;
        this->pausedUntil = now + this->options.firstReadingSpread * this->random->unit();
    }
    if (this->pending || now < this->pausedUntil)
        return std::nullopt;
    // Meanwhile another instance sent everything, so the reading in progress is no longer needed.
    if (this->pagesMayBeStale && !this->isFirstReading())
        this->pages.clear();
    if (this->mustRead()) {
        StoreRequest request = this->newRequest(StoreOperation::ReadRange, now);
        if (this->pages.empty()) {
            this->readingStartedAt = now;
            this->pagesMayBeStale = this->isFirstReading();
        } else
            request.afterKey = this->pages.back().key;
        request.mayBeStale = this->pagesMayBeStale;
        return request;
    }
    if (!shouldWatch)
        return std::nullopt;
    StoreRequest request = this->newRequest(StoreOperation::Watch, now);
    request.after = this->view->revision();
    request.wait = this->options.watchWait;
    request.timeout = this->options.watchWait + this->options.watchGrace;
    return request;
}

bool StoreReader::mustRead() const
{
    // A view received from another instance needs no reading: a watch continues from its revision.
    return this->historyLost || !this->pages.empty() || !this->view->revision();
}

StoreUpdate StoreReader::answered(const StoreAnswer& answer, Milliseconds now)
{
    if (answer.number != this->pending)
        return {};
    this->pending = 0;
    if (answer.status == StoreStatus::HistoryLost) {
        this->historyLost = true;
        return {};
    }
    if (answer.status != StoreStatus::Done)
        return this->handleFailure(answer.status, now);
    this->backoff.reset();
    this->currentReadTimeout = this->options.readTimeout;
    return this->pendingOperation == StoreOperation::Watch ? this->handleWatch(answer, now)
                                                           : this->handlePage(answer, now);
}

StoreUpdate StoreReader::handleFailure(StoreStatus status, Milliseconds now)
{
    if (status == StoreStatus::Unknown)
        this->currentReadTimeout = std::min(this->currentReadTimeout * 2, this->options.longestReadTimeout);
    this->pausedUntil = now + this->backoff.next(*this->random);
    StoreUpdate update;
    update.isFailure = true;
    return update;
}

StoreUpdate StoreReader::handlePage(const StoreAnswer& answer, Milliseconds now)
{
    this->latency = now - this->sentAt;
    // The pages are not one snapshot: a later page may show a later revision or, if stale, an earlier one.
    this->pagesRevision = this->pages.empty() ? answer.at : std::min(this->pagesRevision, answer.at);
    this->pages.insert(this->pages.end(), answer.items.begin(), answer.items.end());
    if (answer.more && !answer.items.empty())
        return {};
    StoreUpdate update;
    update.changes = this->view->replaceAll(this->pages, this->pagesRevision);
    update.isConfirmed = !this->pagesMayBeStale;
    update.isStaleReading = this->pagesMayBeStale;
    update.confirmedAt = this->readingStartedAt;
    this->pages.clear();
    this->historyLost = false;
    return update;
}

StoreUpdate StoreReader::handleWatch(const StoreAnswer& answer, Milliseconds now)
{
    if (!answer.items.empty())
        this->pausedUntil = now + this->options.watchGap;
    else
        this->latency = std::max(Milliseconds{}, now - this->sentAt - this->options.watchWait);
    StoreUpdate update;
    update.changes = this->view->applyChanges(answer.items, answer.at);
    update.isConfirmed = true;
    update.confirmedAt = std::max(this->sentAt, now - this->latency);
    return update;
}

}
