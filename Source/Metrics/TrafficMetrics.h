#pragma once

#include "Metrics/LatencyHistogram.h"

#include <atomic>
#include <cstdint>

namespace burlreach {

/** What the threads that move requests and messages measure. */
struct TrafficMetrics {
    LatencyHistogram added; // by this instance: all but waiting and backend server
    LatencyHistogram waited; // from arrival to the last attempt's sending
    LatencyHistogram atBackendServer;

    std::atomic<std::uint64_t> openSessions{ 0 };
    std::atomic<std::uint64_t> sessionsRefused{ 0 };
    std::atomic<std::uint64_t> peerBytesSent{ 0 };
    std::atomic<std::uint64_t> peerBytesReceived{ 0 };
    std::atomic<std::uint64_t> peerMessagesSent{ 0 };
    std::atomic<std::uint64_t> peerMessagesDropped{ 0 };
    std::atomic<std::uint64_t> peerMessagesInvalid{ 0 };
    std::atomic<std::uint64_t> storeCalls{ 0 };
    std::atomic<std::uint64_t> storeCallsFailed{ 0 };
};

}
