#include "Tests/Virtual/VirtualBackendServer.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

constexpr double SlowFactor = 10;
constexpr double Percent = 100;
constexpr int StatusOk = 200;
constexpr int StatusFailed = 500;

}

VirtualBackendServer::VirtualBackendServer(Options givenOptions, VirtualTime& givenTime, std::uint64_t seed)
    : options(std::move(givenOptions))
    , time(&givenTime)
    , random(seed)
{
}

LoadFigures VirtualBackendServer::figures() const
{
    if (this->reportIsFrozen)
        return { .running = 0, .waiting = 0, .slots = static_cast<std::uint32_t>(this->options.slots) };
    const double factor = this->present == ServerFault::Slow ? SlowFactor : this->noise;
    return { .running = static_cast<std::uint32_t>(this->running.size()),
        .waiting = static_cast<std::uint32_t>(this->waiting.size()),
        .slots = static_cast<std::uint32_t>(this->options.slots),
        .workPercent = static_cast<std::uint32_t>(factor * Percent) };
}

std::optional<LoadFigures> VirtualBackendServer::probed() const
{
    const bool isMute = this->present == ServerFault::Dead || this->present == ServerFault::Dark
        || this->present == ServerFault::Hangs || this->present == ServerFault::Replaced;
    return isMute ? std::nullopt : std::optional(this->figures());
}

void VirtualBackendServer::tell(const Job& job, AttemptResult result)
{
    ServerWord word;
    word.requestId = job.requestId;
    word.end.result = result;
    const bool isAnswer = result == AttemptResult::Answered || result == AttemptResult::ErrorAnswer
        || result == AttemptResult::RefusedNotRun;
    if (isAnswer) {
        word.end.load = this->figures();
        if (this->leaving)
            word.end.leaving = true;
        word.end.status = result == AttemptResult::Answered ? StatusOk : StatusFailed;
    }
    job.done(word);
}

void VirtualBackendServer::receive(
    const std::string& requestId, const std::string& expectedServer, std::uint64_t attempt, Done done)
{
    ++this->arrivalCount;
    const Job job{ .requestId = requestId, .attempt = attempt, .done = std::move(done) };
    if (this->present == ServerFault::Replaced || expectedServer != this->options.id)
        return this->tell(job, AttemptResult::OtherServer);
    const bool isFull = this->waiting.size() >= this->options.queue && this->running.size() >= this->options.slots;
    if (this->present == ServerFault::Refuses || isFull)
        return this->tell(job, AttemptResult::RefusedNotRun);
    if (this->present == ServerFault::Fails) {
        ++this->runs[requestId];
        return this->tell(job, AttemptResult::ErrorAnswer);
    }
    this->waiting.push_back(job);
    this->startNext();
}

void VirtualBackendServer::startNext()
{
    while (!this->waiting.empty() && this->running.size() < this->options.slots) {
        Job job = std::move(this->waiting.front());
        this->waiting.pop_front();
        ++this->runs[job.requestId];
        const double factor = this->present == ServerFault::Slow ? SlowFactor : this->noise;
        const double spread = 1 + this->options.workSpread * (2 * this->random.unit() - 1);
        this->running[job.attempt] = job;
        this->time->after(this->options.work * (factor * spread), [this, job, begun = this->life] {
            if (begun == this->life && this->running.contains(job.attempt))
                this->finish(job);
        });
    }
}

void VirtualBackendServer::finish(const Job& job)
{
    if (this->present == ServerFault::Hangs)
        return;
    this->running.erase(job.attempt);
    this->tell(job, this->present == ServerFault::LosesAnswers ? AttemptResult::Broken : AttemptResult::Answered);
    this->startNext();
}

void VirtualBackendServer::cancel(std::uint64_t attempt)
{
    std::erase_if(this->waiting, [attempt](const Job& job) { return job.attempt == attempt; });
    this->running.erase(attempt);
    this->startNext();
}

void VirtualBackendServer::setFault(ServerFault next)
{
    const bool hung = std::exchange(this->present, next) == ServerFault::Hangs && next != ServerFault::Hangs;
    const bool losesWork
        = hung || next == ServerFault::Dead || next == ServerFault::Dark || next == ServerFault::Replaced;
    if (!losesWork)
        return this->startNext();
    ++this->life;
    std::vector<Job> lost(this->waiting.begin(), this->waiting.end());
    for (const auto& [attempt, job] : this->running)
        lost.push_back(job);
    this->waiting.clear();
    this->running.clear();
    // A machine without power says nothing; a dead process resets its connections.
    if (next == ServerFault::Dark)
        return;
    for (const Job& job : lost)
        this->tell(job, AttemptResult::Broken);
}

}
