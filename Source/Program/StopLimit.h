#pragma once

#include "Base/Milliseconds.h"
#include "Base/SteadyClock.h"
#include "Logging/Logger.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace burlreach {

/**
 * Ends the process at a time limit, even if one of its threads is blocked: in a library that waits for a connection, or
 * in a write to a log that nobody reads. Logs what the process waited for. The exit code is that of success.
 */
class StopLimit {
public:
    StopLimit();
    /** Cancels the limit. */
    ~StopLimit();
    StopLimit(const StopLimit&) = delete;
    StopLimit& operator=(const StopLimit&) = delete;

    /** Sets the limit to this time of SteadyClock; a limit that is set already can only become earlier. */
    void set(Milliseconds time);
    /** Names what the process waits for from now on. */
    void setAwaited(std::string_view name);
    /** Nothing is logged from now on, because the process waits for the end of the log. */
    void setLogEnding();

private:
    void run();
    /** Called with the mutex held, so that the log cannot begin to end meanwhile. */
    [[noreturn]] void endProcess() const;

    Logger log;
    SteadyClock clock;
    std::mutex mutex;
    std::condition_variable changed;
    Milliseconds end = Never;
    std::string awaited;
    bool isLogEnding = false;
    bool isCancelled = false;
    std::thread thread;
};

}
