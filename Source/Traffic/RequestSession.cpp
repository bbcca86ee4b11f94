#include "Traffic/RequestSession.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

/** The library's time-out counts between two reads; the decisions give up sooner. */
constexpr Milliseconds LibraryMargin{ 1000 };

}

RequestSession::RequestSession(RequestNumber number, CallerRequest givenRequest, const Clock& givenClock)
    : requestNumber(number)
    , request(std::move(givenRequest))
    , clock(&givenClock)
{
}

RequestSession::Attempt& RequestSession::attemptOf(AttemptNumber number)
{
    const auto found = std::find_if(
        this->attempts.begin(), this->attempts.end(), [number](const Attempt& item) { return item.number == number; });
    if (found != this->attempts.end())
        return *found;
    this->attempts.emplace_back();
    this->attempts.back().number = number;
    return this->attempts.back();
}

bool RequestSession::offer(const SendAttempt& attempt)
{
    const std::lock_guard lock(this->mutex);
    if (this->isBusy || !this->offered.empty())
        return false;
    this->offered.push_back(attempt);
    this->changed.notify_all();
    return true;
}

void RequestSession::cancel(AttemptNumber number)
{
    std::shared_ptr<BackendConnection> connection;
    {
        const std::lock_guard lock(this->mutex);
        Attempt& attempt = this->attemptOf(number);
        attempt.cancelled = true;
        connection = attempt.connection;
    }
    if (connection)
        connection->cancel();
}

void RequestSession::end(const RequestEnding& ending)
{
    const std::lock_guard lock(this->mutex);
    if (!this->finalEnding)
        this->finalEnding = ending;
    this->changed.notify_all();
}

std::optional<SendAttempt> RequestSession::next()
{
    const Milliseconds start = this->clock->now();
    std::unique_lock lock(this->mutex);
    this->isBusy = false;
    this->changed.wait(lock, [this] { return this->finalEnding || !this->offered.empty(); });
    this->waitedTime = this->waitedTime + (this->clock->now() - start);
    if (this->finalEnding)
        return std::nullopt;
    this->isBusy = true;
    const SendAttempt attempt = std::move(this->offered.front());
    this->offered.pop_front();
    return attempt;
}

AttemptEnd RequestSession::run(const SendAttempt& attempt, BackendConnections& connections)
{
    const Milliseconds start = this->clock->now();
    const auto connection = connections.take(attempt.address);
    {
        const std::lock_guard lock(this->mutex);
        Attempt& kept = this->attemptOf(attempt.attempt);
        if (kept.cancelled)
            return { .result = AttemptResult::NotSent, .reportedInFlight = std::nullopt, .leaving = false };
        kept.connection = connection;
    }
    BackendExchange exchange = connection->send(this->request, attempt, *this->clock,
        { .sendBy = start + attempt.timeLeft, .silence = attempt.timeLeft + LibraryMargin });
    const std::lock_guard lock(this->mutex);
    Attempt& kept = this->attemptOf(attempt.attempt);
    kept.connection.reset();
    kept.answer = std::move(exchange.answer);
    this->backendTime = this->backendTime + (this->clock->now() - start);
    if (exchange.isClean && !kept.cancelled)
        connections.put(attempt.address, connection);
    return exchange.end;
}

// An attempt that lost against its hedge may still write these.
Milliseconds RequestSession::waited() const
{
    const std::lock_guard lock(this->mutex);
    return this->waitedTime;
}

Milliseconds RequestSession::atBackendServer() const
{
    const std::lock_guard lock(this->mutex);
    return this->backendTime;
}

CallerAnswer RequestSession::takeAnswer(AttemptNumber number)
{
    const std::lock_guard lock(this->mutex);
    return std::move(this->attemptOf(number).answer);
}

}
