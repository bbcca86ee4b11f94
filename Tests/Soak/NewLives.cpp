#include "Tests/Soak/NewLives.h"

#include <utility>

namespace burlreach {

NewLives::NewLives(StartCall givenStartCall)
    : startCall(std::move(givenStartCall))
{
}

void NewLives::tend()
{
    if (this->call && this->call->isRunning())
        return;
    if (this->call && !this->call->hasFailed())
        this->waiting.pop_front();
    this->call.reset();
    if (this->waiting.empty())
        return;
    this->call = this->startCall(this->waiting.front(), ++this->lastLife, this->tries++);
}

}
