#pragma once

#include "Metrics/LatencyHistogram.h"

#include <atomic>
#include <cstdint>

namespace burlreach {

/** What the threads that move requests and messages measure. */
struct TrafficMetrics {
    LatencyHistogram answered; // from arrival to a backend server's answer
    LatencyHistogram refused; // from arrival to an answer of our own
    LatencyHistogram added; // of both, without the time of the attempt that answered
    LatencyHistogram atBackendServer; // of every attempt
    LatencyHistogram turns; // the decisions on one event, during which no other one is decided on

    std::atomic<std::uint64_t> connectionsOpened{ 0 };
    std::atomic<std::uint64_t> connectionsReused{ 0 };

    std::atomic<std::uint64_t> openRequests{ 0 };
    std::atomic<std::uint64_t> unfinishedAnswers{ 0 }; // counted during a planned stop only
    std::atomic<std::uint64_t> openSessions{ 0 };
    std::atomic<std::uint64_t> sessionsRefused{ 0 };
    std::atomic<std::uint64_t> peerBytesSent{ 0 };
    std::atomic<std::uint64_t> peerBytesReceived{ 0 };
    std::atomic<std::uint64_t> peerMessagesSent{ 0 };
    std::atomic<std::uint64_t> peerMessagesDropped{ 0 };
    std::atomic<std::uint64_t> peerMessagesInvalid{ 0 };
    std::atomic<std::uint64_t> logLinesLeftOut{ 0 };
};

}
