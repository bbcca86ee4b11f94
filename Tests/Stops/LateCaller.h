#pragma once

#include "Base/NetworkAddress.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace burlreach {

/** A request and what became of it. */
struct LateRequest {
    std::string id;
    bool mayRepeat = true; // the route's requests may run more than once
    unsigned status = 0; // of the whole answer; 0: the connection ended before
    std::size_t bodyBytes = 0; // of the whole answer
    std::chrono::milliseconds silence{ 0 }; // from the last byte of the request to the end of its answer or connection
    std::chrono::milliseconds sentAt{ 0 }; // its last byte, since the caller began
};

/**
 * Sends requests, one after another, on connections that it keeps as long as the instance does, and opens new ones as
 * long as it can. Runs on a thread of its own until it cannot connect any more.
 */
class LateCaller {
public:
    struct Options {
        NetworkAddress instance;
        std::string name; // the ids of its requests begin with it
        std::chrono::milliseconds between{ 20 }; // an answer and the next request
        std::chrono::milliseconds sending{ 0 }; // from the first byte of a request to its last
    };

    explicit LateCaller(Options givenOptions);
    ~LateCaller();
    LateCaller(const LateCaller&) = delete;
    LateCaller& operator=(const LateCaller&) = delete;

    /** Sends no further request. */
    void stop() { this->isStopped = true; }
    /** Waits until the last request has ended; returns all of them. */
    const std::vector<LateRequest>& finish();

private:
    void run();
    /** Sends requests on one connection until it ends; false if it could not be opened. */
    bool useConnection();
    /** Sends a request and reads its answer; false if the connection cannot be used any more. */
    bool call(int handle);
    bool send(int handle, const std::string& text) const;
    std::chrono::milliseconds now() const;

    Options options;
    std::chrono::steady_clock::time_point began;
    std::vector<LateRequest> requests;
    std::atomic<bool> isStopped{ false };
    std::thread thread;
};

}
