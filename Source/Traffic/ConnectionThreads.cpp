#include "Traffic/ConnectionThreads.h"

#include <boost/thread/thread.hpp>
#include <utility>

namespace burlreach {

namespace {

constexpr std::size_t StackBytes = 262144;

}

void ConnectionThreads::enqueue(std::function<void()> task)
{
    {
        const std::lock_guard lock(this->mutex);
        ++this->running;
    }
    boost::thread::attributes attributes;
    attributes.set_stack_size(StackBytes);
    boost::thread thread(attributes, [this, task = std::move(task)] {
        task();
        const std::lock_guard lock(this->mutex);
        --this->running;
        this->ended.notify_all();
    });
    thread.detach();
}

void ConnectionThreads::shutdown()
{
    std::unique_lock lock(this->mutex);
    this->ended.wait(lock, [this] { return !this->running; });
}

}
