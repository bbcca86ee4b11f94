#pragma once

#include "Base/Clock.h"
#include "Base/NetworkAddress.h"
#include "Metrics/TrafficMetrics.h"
#include "Peers/PeerClientSession.h"
#include "Timers/Timer.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <deque>
#include <memory>
#include <string>

namespace burlreach {

/**
 * Sends messages to one other instance. Connects when there is something to
 * send, closes the connection when idle, and queues messages while there is no
 * connection. A message that cannot be sent before its deadline is dropped and
 * counted; whoever needs its answer must send it again.
 */
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    struct Options {
        Milliseconds messageTimeout{ 2000 };
        Milliseconds reconnectInterval{ 200 }; // shortest time from one attempt to connect to the next
        /** A computer that is powered off does not refuse connections, and TCP repeats its SYN only after 1 s. */
        Milliseconds connectTimeout{ 250 };
        Milliseconds idleTimeout{ 15000 }; // without a message to send; then the connection is closed
        std::size_t maxQueuedMessages = 512; // the oldest one is dropped when there are more
    };

    PeerLink(asio::io_context& context, const Clock& clock, NetworkAddress address, Options options,
        TrafficMetrics& metrics);

    /** Sends a message, or queues it until there is a connection. */
    void send(std::string message);
    /**
     * Drops queued messages whose deadline has passed, and closes a connection that is idle or whose messages are not
     * acknowledged in time. Returns false if the link is idle and can be removed.
     */
    bool enforceTimeLimits();
    void close();

private:
    /** A queued message. */
    struct QueuedMessage {
        std::string message;
        Milliseconds deadline;
    };

    /** Starts an attempt to connect, unless one is in progress or reconnectInterval has not passed since the last. */
    void connect();
    /** Closes the socket if the attempt to connect exceeds its timeout. */
    void startConnectTimeout(const std::shared_ptr<asio::ip::tcp::socket>& socket);
    /** Schedules another attempt to connect if messages are queued. */
    void scheduleReconnect();
    void connected();
    /** Drops the oldest queued messages. */
    void dropOldest(std::size_t count);

    asio::io_context* context;
    const Clock* clock;
    NetworkAddress address;
    Options options;
    TrafficMetrics* metrics;
    std::shared_ptr<PeerClientSession> session;
    std::deque<QueuedMessage> queue;
    Timer connectTimer;
    bool isConnecting = false;
    Milliseconds nextConnectAt = LongAgo; // earliest time of the next attempt to connect
    Milliseconds lastSentAt;
    Milliseconds lastAcknowledgedAt; // last time at which no message was unacknowledged
};

}
