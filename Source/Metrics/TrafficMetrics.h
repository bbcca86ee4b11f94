#pragma once

#include "Metrics/LatencyHistogram.h"

#include <atomic>
#include <cstdint>

namespace burlreach {

/** Measurements of the threads that forward requests and peer messages. */
struct TrafficMetrics {
    LatencyHistogram answered; // from arrival to a backend server's answer
    LatencyHistogram refused; // from arrival to an answer that the instance itself gives
    LatencyHistogram added; // added latency of both: without the time of the attempt that answered
    LatencyHistogram atBackendServer; // duration of each attempt
    LatencyHistogram turns; // time to handle one event, while all other events wait

    std::atomic<std::uint64_t> connectionsOpened{ 0 };
    std::atomic<std::uint64_t> connectionsReused{ 0 };

    std::atomic<std::uint64_t> answersOverLimit{ 0 }; // ended because the server sent too much

    std::atomic<std::uint64_t> heldBytes{ 0 }; // that callers and servers make the instance hold
    std::atomic<std::uint64_t> droppedForMemory{ 0 }; // requests, answers and connections that gave way to others

    std::atomic<std::uint64_t> openRequests{ 0 };
    std::atomic<std::uint64_t> unfinishedAnswers{ 0 }; // counted during a planned stop only
    std::atomic<std::uint64_t> openRelays{ 0 }; // connections relayed for other instances
    std::atomic<std::uint64_t> openSessions{ 0 };
    std::atomic<std::uint64_t> sessionsRefused{ 0 };
    std::atomic<std::uint64_t> sessionsDisplaced{ 0 }; // closed to make room for others
    std::atomic<std::uint64_t> peerBytesSent{ 0 };
    std::atomic<std::uint64_t> peerBytesReceived{ 0 };
    std::atomic<std::uint64_t> peerMessagesSent{ 0 };
    std::atomic<std::uint64_t> peerMessagesDropped{ 0 };
    std::atomic<std::uint64_t> peerMessagesInvalid{ 0 };
    std::atomic<std::uint64_t> logLinesLeftOut{ 0 };
};

}
