#include "Traffic/BackendConnections.h"

namespace burlreach {

namespace {

constexpr Milliseconds LongestIdle{ 30000 };

}

BackendConnections::BackendConnections(const Clock& givenClock)
    : clock(&givenClock)
{
}

std::shared_ptr<BackendConnection> BackendConnections::take(const NetworkAddress& address)
{
    while (true) {
        std::shared_ptr<BackendConnection> found;
        {
            const std::lock_guard lock(this->mutex);
            auto& waiting = this->idle[address];
            if (waiting.empty())
                break;
            found = std::move(waiting.back().connection);
            waiting.pop_back();
        }
        if (found->isQuiet())
            return found;
    }
    return std::make_shared<BackendConnection>(address);
}

void BackendConnections::put(const NetworkAddress& address, std::shared_ptr<BackendConnection> connection)
{
    const std::lock_guard lock(this->mutex);
    this->idle[address].push_back({ .connection = std::move(connection), .since = this->clock->now() });
}

void BackendConnections::closeIdle()
{
    const Milliseconds now = this->clock->now();
    std::vector<Idle> closed;
    const std::lock_guard lock(this->mutex);
    for (auto& [address, waiting] : this->idle) {
        std::erase_if(waiting, [&](Idle& item) {
            const bool isOld = now - item.since > LongestIdle;
            if (isOld)
                closed.push_back(std::move(item));
            return isOld;
        });
    }
}

}
