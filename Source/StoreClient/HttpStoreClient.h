#pragma once

#include "Base/Clock.h"
#include "Base/NetworkAddress.h"
#include "Http/HttpConnectionPool.h"
#include "Http/HttpExchange.h"
#include "Node/EventSink.h"
#include "StoreClient/StoreProtocol.h"

#include <array>
#include <asio/io_context.hpp>
#include <atomic>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace burlreach {

/** The number of calls by operation and status. */
using StoreCallCounts = std::array<std::array<std::atomic<std::uint64_t>, StoreStatusCount>, StoreOperationCount>;

/**
 * Calls the store over HTTP, on the control thread. A connection is reused only
 * after a readable answer that was no refusal.
 */
class HttpStoreClient {
public:
    HttpStoreClient(asio::io_context& context, const NetworkAddress& address, const StoreProtocol& wire,
        const Clock& clock, EventSink& sink);

    /** Starts a call; its result is posted as StoreAnswered. */
    void startCall(const StoreRequest& request);
    /** Closes expired idle connections. */
    void closeExpiredConnections() { this->connections.closeExpired(); }
    /** Cancels all calls; no further results are posted. */
    void stop();
    const StoreCallCounts& counts() const { return this->callCounts; }

private:
    void callEnded(const StoreRequest& request, HttpExchangeEnd end);

    asio::io_context* context;
    NetworkAddress address;
    const StoreProtocol* protocol;
    EventSink* sink;
    HttpConnectionPool connections;
    std::unordered_map<StoreCallNumber, std::shared_ptr<HttpExchange>> callsInFlight;
    StoreCallCounts callCounts{};
};

}
