#include "Tests/Virtual/VirtualBackendServer.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

constexpr Milliseconds FastFailure{ 0.3 };
constexpr double WarmUpPerRequest = 0.97;

}

VirtualBackendServer::VirtualBackendServer(VirtualTime& givenTime, Options givenOptions)
    : time(&givenTime)
    , options(std::move(givenOptions))
{
}

AttemptEnd VirtualBackendServer::end(AttemptResult result) const
{
    AttemptEnd end;
    end.result = result;
    end.leaving = this->leaving;
    end.reportedInFlight = this->faults.reportsIdle ? 0 : this->load();
    return end;
}

void VirtualBackendServer::arrive(BackendWork work)
{
    if (this->faults.dead)
        return work.done({ .result = AttemptResult::NotSent, .reportedInFlight = std::nullopt, .leaving = false });
    if (this->faults.failsFast) {
        this->time->after(FastFailure, [this, done = work.done] { done(this->end(AttemptResult::ErrorAnswer)); });
        return;
    }
    if (this->faults.sheds || this->waiting.size() >= this->options.queue)
        return work.done(this->end(AttemptResult::RefusedNotRun));
    if (this->running < this->options.slots)
        this->begin(std::move(work));
    else
        this->waiting.push_back(std::move(work));
}

void VirtualBackendServer::begin(BackendWork work)
{
    ++this->running;
    if (!work.requestId.empty())
        ++this->journal[work.requestId];
    const Milliseconds took = work.cost * (this->faults.slowness * this->coldFactor);
    this->coldFactor = std::max(1.0, this->coldFactor * WarmUpPerRequest);
    this->time->after(took, [this, done = std::move(work.done)] {
        --this->running;
        if (!this->faults.dead)
            done(this->end(this->faults.cutsAnswers ? AttemptResult::Broken : AttemptResult::Answered));
        else
            done({ .result = AttemptResult::Broken, .reportedInFlight = std::nullopt, .leaving = false });
        if (this->waiting.empty() || this->running >= this->options.slots)
            return;
        BackendWork next = std::move(this->waiting.front());
        this->waiting.pop_front();
        this->begin(std::move(next));
    });
}

void VirtualBackendServer::cancel(std::uint64_t key)
{
    std::erase_if(this->waiting, [key](const BackendWork& work) { return work.key == key; });
}

}
