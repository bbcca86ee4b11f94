#pragma once

#include <chrono>
#include <thread>

namespace burlreach {

/** Asks again and again until the condition is true; false if it is not after this time. */
template <typename Condition>
bool waitFor(std::chrono::milliseconds patience, Condition condition)
{
    constexpr std::chrono::milliseconds pause{ 2 };
    const auto end = std::chrono::steady_clock::now() + patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(pause);
    }
    return true;
}

}
