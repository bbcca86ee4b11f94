#pragma once

#include "Base/NetworkAddress.h"
#include "Tests/Relays/HalvedAnswerServer.h"

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace burlreach {

/** A request and the bytes that its caller got, read on a thread of its own. */
class RelayedCaller {
public:
    struct Options {
        NetworkAddress instance;
        std::string id;
        AnswerFraming framing = AnswerFraming::Length; // of the server's answer
        std::chrono::duration<double, std::milli> pause{ 0 }; // in the middle of the server's answer
        bool mayRepeat = true; // the route's requests may run more than once
    };

    explicit RelayedCaller(Options givenOptions);
    ~RelayedCaller();
    RelayedCaller(const RelayedCaller&) = delete;
    RelayedCaller& operator=(const RelayedCaller&) = delete;

    const Options& request() const { return this->options; }
    /** True once the caller has its answer or its connection has ended. */
    bool isDone() const { return this->done; }
    /** What the caller got; only once it is done. */
    const std::string& received() const { return this->bytes; }
    /** The status of a complete answer; 0 if none came before the connection ended. */
    unsigned status() const;
    /** The body of a complete answer. */
    std::string body() const;

private:
    void run();
    /** True if a whole answer has come; one without a length ends with the connection. */
    bool isComplete(bool hasEnded) const;

    Options options;
    std::string bytes;
    bool hasEnded = false;
    std::atomic<bool> done{ false };
    std::thread thread;
};

}
