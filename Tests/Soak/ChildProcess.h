#pragma once

#include <chrono>
#include <string>
#include <sys/types.h>
#include <vector>

namespace burlreach {

/**
 * A program that the soak starts, and signals only through this object. Its output goes to a log file, to which every
 * later run of the program appends.
 */
class ChildProcess {
public:
    struct Options {
        std::vector<std::string> command;
        std::string logPath;
    };

    explicit ChildProcess(Options options);
    /** Kills the program if it still runs. */
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void start();
    /**
     * Sends a signal; does nothing if the program does not run. Just after a start, before any code of the program has
     * run, the default action of a signal would end it: SIGTERM is allowed to do so, SIGHUP is sent only once this
     * moment has passed.
     */
    void signal(int number);
    /** Sends SIGKILL, also to a paused program, and waits for its end. */
    void kill();
    /** Waits until the program has ended. */
    void wait();
    bool isRunning();
    /** The id of the process; 0 if it does not run. */
    pid_t number() const { return this->pid; }
    /** The most memory in bytes that the running program has held so far; 0 if it does not run. */
    std::size_t peakMemory() const;
    /** True if the program ended without having been asked to, or with a failure. */
    bool hasFailed();
    /** Marks the next end of the program as requested, so that it does not count as a failure. */
    void expectEnd() { this->isEndExpected = true; }

private:
    void noteEnd(int status);

    Options options;
    pid_t pid = 0; // 0: not running
    std::chrono::steady_clock::time_point startedAt;
    bool wasStoppedEarly = false;
    bool isEndExpected = false;
    bool failed = false;
};

}
