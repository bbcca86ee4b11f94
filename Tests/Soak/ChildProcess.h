#pragma once

#include <chrono>
#include <string>
#include <sys/types.h>
#include <vector>

namespace burlreach {

/**
 * A program that the soak started, and only through this object signals. Its
 * output goes to a file that later lives of it append to.
 */
class ChildProcess {
public:
    struct Options {
        std::vector<std::string> command;
        std::string logPath;
    };

    explicit ChildProcess(Options options);
    /** Kills it if it still runs. */
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void start();
    /**
     * Nothing happens when it does not run. In the first moment of a life the
     * system's default ends the program before any of its code runs: SIGTERM
     * may then do so, and SIGHUP waits for that moment to pass.
     */
    void signal(int number);
    /** SIGKILL, also to a paused one, and waits for the end. */
    void kill();
    /** Waits for the end. */
    void wait();
    bool isRunning();
    /** True when it ended though nobody had asked for it, or with a failure. */
    bool hasFailed();
    /** The next end is asked for. */
    void expectEnd() { this->isEndExpected = true; }

private:
    void noteEnd(int status);

    Options options;
    pid_t pid = 0; // 0: it does not run
    std::chrono::steady_clock::time_point startedAt;
    bool wasStoppedEarly = false;
    bool isEndExpected = false;
    bool failed = false;
};

}
