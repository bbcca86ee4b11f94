#include "Traffic/AttemptThreads.h"

#include <utility>

namespace burlreach {

AttemptThreads::AttemptThreads(std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index)
        this->threads.emplace_back([this] { this->work(); });
}

AttemptThreads::~AttemptThreads()
{
    this->stop();
}

void AttemptThreads::run(std::function<void()> task)
{
    const std::lock_guard lock(this->mutex);
    this->tasks.push_back(std::move(task));
    this->changed.notify_one();
}

void AttemptThreads::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    for (std::thread& thread : this->threads)
        thread.join();
    this->threads.clear();
}

void AttemptThreads::work()
{
    while (true) {
        std::function<void()> task;
        {
            std::unique_lock lock(this->mutex);
            this->changed.wait(lock, [this] { return this->stopping || !this->tasks.empty(); });
            if (this->stopping)
                return;
            task = std::move(this->tasks.front());
            this->tasks.pop_front();
        }
        task();
    }
}

}
