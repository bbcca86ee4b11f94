#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace burlreach {

/** A few threads for what the threads of connections cannot do themselves. */
class AttemptThreads {
public:
    explicit AttemptThreads(std::size_t count);
    ~AttemptThreads();
    AttemptThreads(const AttemptThreads&) = delete;
    AttemptThreads& operator=(const AttemptThreads&) = delete;

    void run(std::function<void()> task);
    void stop();

private:
    void work();

    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::function<void()>> tasks;
    bool stopping = false;
    std::vector<std::thread> threads;
};

}
