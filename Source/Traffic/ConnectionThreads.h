#pragma once

#include <condition_variable>
#include <httplib.h>
#include <mutex>

namespace burlreach {

/** Gives every connection a thread of its own, with a small stack. */
class ConnectionThreads final : public httplib::TaskQueue {
public:
    void enqueue(std::function<void()> task) override;
    /** Waits until all threads have ended. */
    void shutdown() override;

private:
    std::mutex mutex;
    std::condition_variable ended;
    std::size_t running = 0;
};

}
