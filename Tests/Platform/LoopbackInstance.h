#pragma once

#include "Base/SteadyClock.h"
#include "HeaderDialect.h"
#include "Node/Node.h"
#include "Traffic/RequestDesk.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <string>

namespace burlreach {

/** What a caller got. */
struct CallerAnswer {
    unsigned status = 0; // 0: none came
    std::string text; // all of it
    Milliseconds took;

    std::string field(std::string_view name) const;
};

/**
 * The decisions and the traffic of one instance in the platform's form, on one
 * thread and real loopback connections. What the store holds is told by the
 * test, as another instance would.
 */
class LoopbackInstance final : public EventSink {
public:
    explicit LoopbackInstance(asio::io_context& context);

    void post(const Event& event) override;

    /** A backend server's record, as the platform's store holds it; born 0: the record tells no life. */
    void putServer(const std::string& id, const NetworkAddress& address, std::uint64_t born = 0);
    void removeServer(const std::string& id);
    /** Sends a request and waits for what comes of it. */
    CallerAnswer call();
    /** Sends it, and waits no longer than this. */
    CallerAnswer call(Milliseconds patience);
    void pass(Milliseconds span);
    const Node& decisions() const { return this->node; }
    /** As ctl show-load tells it; empty: the server is not known. */
    std::string stateOf(const std::string& id) const;

private:
    void tell(const std::string& key, const std::string& value, bool isRemoved);

    template <typename Other>
    void execute(const Other&)
    {
        // Peers, the store and the log have no part here.
    }
    void execute(const SendAttempt& action) { this->desk.execute(action); }
    void execute(const CancelAttempt& action) { this->desk.execute(action); }
    void execute(const PassAnswer& action) { this->desk.execute(action); }
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
    RequestDesk desk;
    Milliseconds requestTimer = Never; // planned after each event
    StoreRevision revision = 0;
    unsigned calls = 0;
};

}
