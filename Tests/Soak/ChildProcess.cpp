#include "Tests/Soak/ChildProcess.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace burlreach {

namespace {

constexpr mode_t LogMode = 0644;

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
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    const char* log = this->options.logPath.c_str();
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log, O_WRONLY | O_CREAT | O_APPEND, LogMode);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    const int error = posix_spawn(&this->pid, arguments.front(), &files, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    this->isEndExpected = false;
    if (error) {
        this->pid = 0;
        this->failed = true;
    }
}

void ChildProcess::signal(int number) const
{
    if (this->pid)
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
    const bool wasOrderly = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    this->failed = this->failed || !this->isEndExpected || !(wasKilled || wasOrderly);
}

}
