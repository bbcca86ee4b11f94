#pragma once

#include "Base/ChronoDuration.h"
#include "Base/SteadyClock.h"
#include "Configuration/ChangeListener.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace burlreach {

/**
 * Operators' calls that wait for an answer. The threads of the operators' server
 * wait, and the control thread answers.
 */
template <typename Answer>
class PendingCalls {
public:
    /** Registers a call and returns its number. */
    OperatorCallNumber begin()
    {
        const std::lock_guard lock(this->mutex);
        this->answers.emplace(++this->last, std::nullopt);
        return this->last;
    }

    void answer(OperatorCallNumber call, const Answer& answer)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->answers.find(call);
        if (found != this->answers.end())
            found->second = answer;
        this->changed.notify_all();
    }

    /** Ends all waits: no further answers arrive. */
    void close()
    {
        const std::lock_guard lock(this->mutex);
        this->isClosed = true;
        this->changed.notify_all();
    }

    /**
     * Waits for the answer and removes the call. Returns nothing if no answer arrives within the time limit or before
     * close().
     */
    std::optional<Answer> wait(OperatorCallNumber call, Milliseconds longest)
    {
        std::unique_lock lock(this->mutex);
        const auto found = this->answers.find(call);
        const Milliseconds end = this->clock.now() + longest;
        // Waits in short steps, because the library's clock stands still while the computer is suspended.
        while (!found->second && !this->isClosed && this->clock.now() < end)
            this->changed.wait_for(lock, toDuration(std::min(LongestWait, end - this->clock.now())));
        std::optional<Answer> answer = std::move(found->second);
        this->answers.erase(found);
        return answer;
    }

private:
    static constexpr Milliseconds LongestWait{ 250 };

    SteadyClock clock;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<OperatorCallNumber, std::optional<Answer>> answers;
    OperatorCallNumber last = 0;
    bool isClosed = false;
};

}
