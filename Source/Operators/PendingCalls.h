#pragma once

#include "Base/Milliseconds.h"
#include "Configuration/ChangeListener.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace burlreach {

/** Operators' calls that wait for the answer of the decisions. */
template <typename Answer>
class PendingCalls {
public:
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

    /** Nothing when no answer came in time. */
    std::optional<Answer> wait(OperatorCallNumber call, Milliseconds longest)
    {
        std::unique_lock lock(this->mutex);
        const auto found = this->answers.find(call);
        this->changed.wait_for(
            lock, std::chrono::duration<double, std::milli>(longest.count), [&] { return found->second.has_value(); });
        std::optional<Answer> answer = std::move(found->second);
        this->answers.erase(found);
        return answer;
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::map<OperatorCallNumber, std::optional<Answer>> answers;
    OperatorCallNumber last = 0;
};

}
