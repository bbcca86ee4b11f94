#pragma once

#include "Base/NetworkAddress.h"
#include "Tests/Relays/HalvedAnswerServer.h"

#include <atomic>
#include <chrono>
#include <optional>
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
    /** From sending the request to the first byte of the answer; only once the caller is done. */
    std::chrono::duration<double, std::milli> firstByteAfter() const { return this->firstByte; }

private:
    /** A complete answer. */
    struct Answer {
        unsigned status = 0;
        std::string body;
    };

    void run();
    /** The answer if all of it has come; one without a length ends with the connection. */
    std::optional<Answer> completeAnswer() const;

    Options options;
    std::string bytes;
    bool hasEnded = false; // the connection has ended in order
    std::chrono::duration<double, std::milli> firstByte{ 0 };
    std::atomic<bool> done{ false };
    std::thread thread;
};

}
