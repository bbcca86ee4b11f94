#pragma once

#include "Tests/Crowds/Crowd.h"

#include <cstddef>
#include <cstdint>
#include <thread>

namespace burlreach {

/** A crowd of callers that don't behave, on a thread of its own. Its connections stay open until it is destroyed. */
class UnrulyCallers {
public:
    /** The number chooses what they send: bodies that stop short of their end, whole ones, or half of a header. */
    UnrulyCallers(std::uint16_t port, std::size_t number);
    ~UnrulyCallers();
    UnrulyCallers(const UnrulyCallers&) = delete;
    UnrulyCallers& operator=(const UnrulyCallers&) = delete;

private:
    Crowd crowd;
    std::thread thread;
};

}
