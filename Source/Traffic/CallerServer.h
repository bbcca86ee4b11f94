#pragma once

#include "Base/NetworkAddress.h"
#include "Metrics/TrafficMetrics.h"
#include "Traffic/CallerExchange.h"
#include "Traffic/CallerStream.h"

#include <atomic>
#include <httplib.h>
#include <system_error>
#include <thread>

namespace burlreach {

/**
 * Takes requests from callers by HTTP/1.1. httplib reads and writes them; the
 * loop over a connection is ours, because sessions live for hours, because the
 * socket must be known to notice a caller that leaves, and because bodies pass
 * through untouched.
 */
class CallerServer final : private httplib::Server {
public:
    struct Options {
        NetworkAddress address;
        std::size_t maximumSessions = 4000;
        std::size_t maximumHeaderBytes = 8192;
        std::size_t maximumBodyBytes = 1048576;
        Milliseconds idleSession{ 300000 };
    };

    CallerServer(Options options, CallerHandler& handler, TrafficMetrics& metrics);
    ~CallerServer() override;

    std::error_code start();
    /** From now on every answer closes its connection. */
    void closeAfterAnswers() { this->closesAfterAnswers = true; }
    /** Lets no new connection begin, serves those that have, closes idle ones. */
    void closeIdle();
    /** Closes the listening socket and waits until all connections have ended. */
    void finish();

private:
    bool process_and_close_socket(socket_t socket) override;
    void refuseNewConnections();
    void serve(socket_t socket, bool refuses);
    void prepare(httplib::Request& request);
    void handle(const httplib::Request& request, httplib::Response& response);

    Options options;
    CallerHandler* handler;
    TrafficMetrics* metrics;
    std::atomic<bool> closesAfterAnswers{ false };
    std::atomic<bool> closesIdle{ false };
    std::thread acceptor;
};

}
