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
 * The way to one other instance. Connects when there is something to send and
 * closes when idle. Every message has a deadline: what cannot be delivered in
 * time is dropped and counted, and its sender asks again.
 */
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    struct Options {
        Milliseconds messageDeadline{ 2000 };
        Milliseconds reconnectGap{ 200 };
        /** A machine that is dark says nothing, and the system would try again only after a second. */
        Milliseconds connectTimeout{ 250 };
        Milliseconds idle{ 15000 };
        std::size_t mostWaiting = 512;
    };

    PeerLink(asio::io_context& context, const Clock& clock, NetworkAddress address, Options options,
        TrafficMetrics& metrics);

    void send(std::string message);
    /** Drops what is late and closes what is idle; false when it can be forgotten. */
    bool tend();
    void close();

private:
    struct Waiting {
        std::string message;
        Milliseconds deadline;
    };

    void connect();
    /** Ends a connecting that takes too long, and begins another one while there is something to send. */
    void watchConnecting(const std::shared_ptr<asio::ip::tcp::socket>& socket);
    void connectAgain();
    void connected();
    void drop(std::size_t count);

    asio::io_context* context;
    const Clock* clock;
    NetworkAddress address;
    Options options;
    TrafficMetrics* metrics;
    std::shared_ptr<PeerClientSession> session;
    std::deque<Waiting> waiting;
    Timer connectTimer;
    bool isConnecting = false;
    Milliseconds nextConnect = LongAgo;
    Milliseconds lastSend;
    Milliseconds lastAnswered;
};

}
