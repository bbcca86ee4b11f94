#include "Program/StopLimit.h"

#include "Base/ChronoDuration.h"
#include "Program/ExitCode.h"

#include <algorithm>
#include <cstdlib>

namespace burlreach {

namespace {

/** Waits are short, because the library's clock stands still while the machine is suspended. */
constexpr Milliseconds LongestWait{ 50 };
/** Time for the log's own thread to write the last lines. */
constexpr Milliseconds LogTime{ 30 };

}

StopLimit::StopLimit()
    : log("stop")
{
}

StopLimit::~StopLimit()
{
    {
        const std::lock_guard lock(this->mutex);
        this->isCancelled = true;
    }
    this->changed.notify_all();
    if (this->thread.joinable())
        this->thread.join();
}

void StopLimit::set(Milliseconds time)
{
    {
        const std::lock_guard lock(this->mutex);
        this->end = std::min(this->end, time);
    }
    this->changed.notify_all();
    if (!this->thread.joinable())
        this->thread = std::thread([this] { this->run(); });
}

void StopLimit::setAwaited(std::string_view name)
{
    const std::lock_guard lock(this->mutex);
    this->awaited = name;
}

void StopLimit::setLogEnding()
{
    const std::lock_guard lock(this->mutex);
    this->isLogEnding = true;
}

void StopLimit::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->isCancelled) {
        const Milliseconds left = this->end - this->clock.now();
        if (left <= Milliseconds{})
            this->endProcess();
        this->changed.wait_for(lock, toDuration(std::min(LongestWait, left)));
    }
}

void StopLimit::endProcess() const
{
    // A line written after the end of the log would block in the library's default sink if the output is blocked.
    if (!this->isLogEnding) {
        std::string fields = "\"waited_for\":";
        appendJsonText(fields, this->awaited);
        this->log.write(Severity::Warning, "stop_limit_reached", fields);
        std::this_thread::sleep_for(toDuration(LogTime));
    }
    // Destructors would wait for the thread that is blocked.
    std::_Exit(toInt(ExitCode::Success));
}

}
