#include "Tests/Virtual/ParallelRuns.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace burlreach {

void runInParallel(std::size_t count, const std::function<void(std::size_t)>& run)
{
    std::atomic<std::size_t> next{ 0 };
    const auto work = [&] {
        for (std::size_t index = next++; index < count; index = next++)
            run(index);
    };
    std::vector<std::thread> threads;
    const std::size_t cores = std::max(1U, std::thread::hardware_concurrency());
    threads.reserve(cores);
    for (std::size_t index = 0; index < cores; ++index)
        threads.emplace_back(work);
    for (std::thread& thread : threads)
        thread.join();
}

}
