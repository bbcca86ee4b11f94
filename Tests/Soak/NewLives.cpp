#include "Tests/Soak/NewLives.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

/** Time after which an accepted change is in force at every instance that reaches the store or its peers. */
constexpr std::chrono::milliseconds InForceEverywhere{ 1000 };

}

NewLives::NewLives(Options givenOptions)
    : options(std::move(givenOptions))
{
}

void NewLives::tend()
{
    if (this->call && this->call->isRunning())
        return;
    if (this->call && !this->call->hasFailed())
        this->acceptedAt = Clock::now();
    this->call.reset();
    if (this->acceptedAt) {
        if (Clock::now() < *this->acceptedAt + InForceEverywhere)
            return;
        this->acceptedAt.reset();
        const std::size_t server = this->waiting.front();
        this->waiting.pop_front();
        // The server may have begun another life meanwhile.
        if (std::find(this->waiting.begin(), this->waiting.end(), server) == this->waiting.end())
            this->options.known(server);
    }
    if (!this->waiting.empty())
        this->call = this->options.startCall(this->waiting.front(), ++this->lastLife, this->tries++);
}

}
