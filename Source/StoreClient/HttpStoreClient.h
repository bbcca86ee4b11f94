#pragma once

#include "Base/Clock.h"
#include "Base/NetworkAddress.h"
#include "Http/HttpConnectionPool.h"
#include "Http/HttpExchange.h"
#include "Node/EventSink.h"
#include "StoreClient/StoreWire.h"

#include <array>
#include <asio/io_context.hpp>
#include <atomic>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace burlreach {

/** How many calls of each kind ended how. */
using StoreCallCounts = std::array<std::array<std::atomic<std::uint64_t>, StoreStatusCount>, StoreOperationCount>;

/**
 * Calls the store over HTTP, on the control thread. A connection on which an
 * answer did not come is never used again.
 */
class HttpStoreClient {
public:
    HttpStoreClient(asio::io_context& context, const NetworkAddress& address, const StoreWire& wire, const Clock& clock,
        EventSink& sink);

    void ask(const StoreRequest& request);
    void tend() { this->connections.tend(); }
    void stop();
    const StoreCallCounts& counts() const { return this->callCounts; }

private:
    void ended(const StoreRequest& request, HttpExchangeEnd end);

    asio::io_context* context;
    NetworkAddress address;
    const StoreWire* wire;
    EventSink* sink;
    HttpConnectionPool connections;
    std::unordered_map<StoreCallNumber, std::shared_ptr<HttpExchange>> underWay;
    StoreCallCounts callCounts{};
};

}
