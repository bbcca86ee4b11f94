#pragma once

#include "Base/SteadyClock.h"
#include "HeaderDialect.h"
#include "Node/Node.h"
#include "Traffic/RequestForwarder.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace burlreach {

/** The answer that a caller received. */
struct CallerAnswer {
    unsigned status = 0; // 0: no answer
    std::string text; // the whole answer, header and body
    Milliseconds took; // time from sending the request to the answer
    bool isWhole = false;
    bool hasEnded = false; // the connection has ended before the answer was whole

    /** Returns the value of a header field; empty if it is missing. */
    std::string field(std::string_view name) const;
};

/**
 * One instance, made of Node and a RequestForwarder with the platform's dialect, on
 * one thread with real loopback connections. The test supplies the contents of
 * the store, as gossip updates of another instance.
 */
class LoopbackInstance final : public EventSink {
public:
    explicit LoopbackInstance(asio::io_context& context);

    void post(const Event& event) override;

    /** Adds or changes a backend server's record in the store. If born is 0, the record has no start time. */
    void putServer(const std::string& id, const NetworkAddress& address, std::uint64_t born = 0);
    void removeServer(const std::string& id);
    /** Where callers connect to. */
    NetworkAddress callersAddress() const { return { .host = "127.0.0.1", .port = this->port }; }
    /** Sends a request and waits for its answer for up to 2.5 s. */
    CallerAnswer call();
    /** Sends a request and waits for its answer for up to this long. */
    CallerAnswer call(Milliseconds patience);
    /** Sends a request that must run at most once and waits for its answer for up to 2.5 s. */
    CallerAnswer callRunOnce();
    /**
     * Sends the same request for this many callers at once, each with an id of its own, and waits for all answers for
     * up to this long. `whileWaiting` is called often meanwhile.
     */
    std::vector<CallerAnswer> sendAll(const std::string& firstLine, std::size_t callers, Milliseconds patience,
        const std::function<void()>& whileWaiting);
    /** As the instance does once a second. */
    void closeExpiredConnections() { this->desk.runMaintenance(); }
    /** Runs the instance for this long. */
    void runFor(Milliseconds duration);
    const Node& decisions() const { return this->node; }
    /** Returns the server's state as shown by ctl show-load; empty if the server is unknown. */
    std::string stateOf(const std::string& id) const;

private:
    struct Caller;

    std::unique_ptr<Caller> startCaller(const std::string& firstLine);
    /** Sends a request with this first line and waits for its answer for up to this long. */
    CallerAnswer send(const std::string& firstLine, Milliseconds patience);
    /** Passes an item of the store to Node, as a push of another instance. */
    void putItem(const std::string& key, const std::string& value, bool isRemoved);

    template <typename Other>
    void execute(const Other&)
    {
        // Actions for peers, the store and the log are not carried out.
    }
    void execute(const SendAttempt& action) { this->desk.execute(action); }
    void execute(const CancelAttempt& action) { this->desk.execute(action); }
    void execute(const BeginAnswer& action) { this->desk.execute(action); }
    void execute(const ForwardAnswer& action) { this->desk.execute(action); }
    void execute(const RefuseRequest& action) { this->desk.execute(action); }
    void execute(const SendProbe& action) { this->desk.execute(action); }
    void execute(const StopSendingTo& action) { this->desk.execute(action); }
    void execute(const CheckServer& action) { this->desk.execute(action); }
    void execute(const SetCallerLimits& action) { this->desk.execute(action); }

    asio::io_context* context;
    SteadyClock clock;
    platform::HeaderDialect dialect;
    TrafficMetrics metrics;
    Node node;
    std::uint16_t port;
    RequestForwarder desk;
    Milliseconds requestTimer = Never; // when RequestTimer is due; set after each event
    StoreRevision revision = 0;
    unsigned calls = 0;
};

}
