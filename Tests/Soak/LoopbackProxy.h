#pragma once

#include "Base/Milliseconds.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <vector>

namespace burlreach {

/** What a proxy does to the bytes that pass it. */
enum class ProxyFault {
    None,
    Delay, // each piece waits
    SilentForward, // what the client sends is swallowed
    SilentBack, // what the server sends is swallowed
    Silent, // both
    Refuse // connections are closed at once, also open ones
};

/**
 * Passes TCP connections on from one port of the loopback to another, with
 * faults. Runs on the thread of its context; faults may be set from any.
 */
class LoopbackProxy {
public:
    struct Options {
        std::uint16_t port = 0;
        std::vector<std::uint16_t> targets; // the first one that takes the connection
        Milliseconds delay{ 60 };
    };

    LoopbackProxy(asio::io_context& context, Options options);

    void setFault(ProxyFault next);
    /** Resets all open connections. */
    void reset();

private:
    class Relay;

    void accept();
    void resetNow();

    asio::io_context* context;
    Options options;
    asio::ip::tcp::acceptor acceptor;
    std::atomic<ProxyFault> fault{ ProxyFault::None };
    std::list<std::weak_ptr<Relay>> relays;
};

}
