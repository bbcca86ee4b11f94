#pragma once

#include "Base/NetworkAddress.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace burlreach {

/** Bytes to be sent: a text that is repeated until so many bytes are sent. */
struct CrowdBytes {
    std::shared_ptr<const std::string> text;
    std::size_t size = 0;
};

/** What one caller of a crowd sends on its connection, and the ids of its requests. */
struct CrowdScript {
    std::vector<CrowdBytes> parts;
    std::vector<std::string> ids;
};

/** An answer that a caller received. */
struct CrowdAnswer {
    unsigned status = 0;
    std::string id; // of the request, as the answer names it; empty if it names none
    std::string retryAfter; // the field; empty if it is missing
};

/**
 * Callers that send at the same time, each on one connection, from the thread that runs them. Their connections stay
 * open until the crowd is destroyed.
 */
class Crowd {
public:
    struct Options {
        NetworkAddress address;
        std::size_t pieceBytes = 0; // a caller sends so much before the next one's turn; 0: as much as it can
        std::chrono::milliseconds startInterval{ 0 }; // between the connections of two callers
        bool readsAnswers = true;
    };

    explicit Crowd(const Options& givenOptions);
    ~Crowd();
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    void add(CrowdScript script);
    /**
     * Lets all callers send and read until none has made progress for some time and this function returns true, which
     * is also called meanwhile.
     */
    void run(const std::function<bool()>& isEnough);
    std::size_t size() const { return this->callers.size(); }
    /** The answers that callers received, in no order. */
    std::vector<CrowdAnswer> answers() const;
    /** All ids of the callers' requests. */
    std::vector<std::string> ids() const;
    /** The bytes of all callers' answers, headers included. */
    std::size_t receivedBytes() const;

private:
    struct Caller;

    bool step(Caller& caller);
    bool connect(Caller& caller);
    bool send(Caller& caller) const;
    static bool receive(Caller& caller);

    Options options;
    std::vector<std::unique_ptr<Caller>> callers;
    std::chrono::steady_clock::time_point nextStart; // of a connection
};

/** Sends one request on a connection of its own and waits for its answer, for some seconds at most. */
CrowdAnswer callOnce(const NetworkAddress& address, const std::string& request);

}
