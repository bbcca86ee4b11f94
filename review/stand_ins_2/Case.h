#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>

#include "Sockets.h"

namespace review {

/** How a case ends; the exit code of its script. */
enum class Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2
};

/** The parts that all cases share: the arguments, the record of what was sent, answered and run, and the ids. */
class Case {
public:
    /** Arguments: the folder for settings and logs, and the file for the record. */
    Case(int argumentCount, char** arguments);

    const std::string& folder() const { return this->workFolder; }
    /** False with TROUBLE=0: all is done but the disruption. */
    bool hasTrouble() const { return this->isTroubled; }
    /** Writes a line with the time since the start of the case. */
    void record(const std::string& line);
    /** An id that no other request has. */
    std::string newId();
    /** Records the verdict and ends the process without waiting for threads. Call it after all processes were ended. */
    [[noreturn]] void end(Verdict verdict, const std::string& why);

private:
    std::string workFolder;
    std::ofstream file;
    std::mutex mutex;
    std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
    bool isTroubled = true;
    unsigned ids = 0;
};

/** A caller's connection to an instance. */
class Caller {
public:
    Caller(Case& givenCase, const Address& instance);
    ~Caller();
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;
    Caller(Caller&&) = delete;
    Caller& operator=(Caller&&) = delete;

    /** Sends a request and returns its id; the deadline is in milliseconds. */
    std::string send(const std::string& method, const std::string& host, const std::string& path,
        const std::string& body, int deadline);
    /** Waits for the answer; nothing if the connection ends before a whole answer. */
    std::optional<Message> answer();
    /** The connection's socket, to read from it without the reader. */
    int handle() const { return this->socket; }

private:
    Case* thisCase;
    int socket;
    MessageReader reader;
};

/** Waits until the condition is true; false if it is not within this time. */
template <typename Condition>
bool waitFor(std::chrono::milliseconds longest, Condition isTrue)
{
    const auto end = std::chrono::steady_clock::now() + longest;
    while (!isTrue()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
    }
    return true;
}

}
