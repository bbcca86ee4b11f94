#include "Tests/Soak/ChildProcess.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <string>
#include <string_view>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace burlreach {

namespace {

constexpr mode_t LogMode = 0644;
constexpr int CannotRun = 127;
constexpr std::chrono::milliseconds FirstMoment{ 500 };

/** Runs the program in the child process; the kernel kills it when the soak ends, for whatever reason. */
[[noreturn]] void become(const std::vector<char*>& arguments, const char* log)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // A proxy's connection that the child inherits would stay open, and silent for its peer, after the proxy closes it.
    constexpr unsigned first = STDERR_FILENO + 1;
    constexpr unsigned last = ~0U;
    close_range(first, last, CLOSE_RANGE_CLOEXEC);
    const int file = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LogMode);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    execv(arguments.front(), arguments.data());
    _exit(CannotRun);
}

}

ChildProcess::ChildProcess(Options givenOptions)
    : options(std::move(givenOptions))
{
}

ChildProcess::~ChildProcess()
{
    this->kill();
}

void ChildProcess::start()
{
    std::vector<char*> arguments;
    arguments.reserve(this->options.command.size() + 1);
    for (std::string& word : this->options.command)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const char* log = this->options.logPath.c_str();
    this->isEndExpected = false;
    this->wasStoppedEarly = false;
    this->startedAt = std::chrono::steady_clock::now();
    this->pid = fork();
    if (this->pid == 0)
        become(arguments, log);
    if (this->pid > 0)
        return;
    this->pid = 0;
    this->failed = true;
}

void ChildProcess::signal(int number)
{
    if (!this->pid)
        return;
    if (number == SIGHUP)
        std::this_thread::sleep_until(this->startedAt + FirstMoment);
    const bool isEarly = std::chrono::steady_clock::now() < this->startedAt + FirstMoment;
    this->wasStoppedEarly = this->wasStoppedEarly || (isEarly && number == SIGTERM);
    ::kill(this->pid, number);
}

void ChildProcess::kill()
{
    if (!this->isRunning())
        return;
    this->expectEnd();
    this->signal(SIGKILL);
    this->wait();
}

void ChildProcess::wait()
{
    int status = 0;
    if (this->pid && waitpid(this->pid, &status, 0) == this->pid)
        this->noteEnd(status);
}

std::size_t ChildProcess::peakMemory() const
{
    constexpr std::size_t bytesPerUnit = 1024;
    constexpr std::string_view name = "VmHWM:";
    std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
    for (std::string line; this->pid && std::getline(file, line);) {
        if (line.starts_with(name))
            return std::stoul(line.substr(name.size())) * bytesPerUnit;
    }
    return 0;
}

bool ChildProcess::isRunning()
{
    int status = 0;
    if (this->pid && waitpid(this->pid, &status, WNOHANG) == this->pid)
        this->noteEnd(status);
    return this->pid != 0;
}

bool ChildProcess::hasFailed()
{
    this->isRunning();
    return this->failed;
}

void ChildProcess::noteEnd(int status)
{
    this->pid = 0;
    const bool wasKilled = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
    const bool wasEarly = this->wasStoppedEarly && WIFSIGNALED(status) && WTERMSIG(status) == SIGTERM;
    const bool wasOrderly = wasEarly || (WIFEXITED(status) && WEXITSTATUS(status) == 0);
    this->failed = this->failed || !this->isEndExpected || !(wasKilled || wasOrderly);
}

}
